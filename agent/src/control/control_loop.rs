use {
    super::{AgentView, ControlHandle, ControlMessage, GateVerdict, SubscriberSet},
    arc_swap::ArcSwap,
    async_channel::{Receiver, Sender},
    futures_lite::future,
    pitchhitch_core::{
        lease::FenceRefusal,
        role::{
            AgentAction, AgentCore, AgentEvent, AgentIdentity, AgentPulse, StampedOrder, WorkTicket,
        },
    },
    pitchhitch_process::ProcessClock,
    smol::Timer,
    std::{
        collections::HashMap,
        io,
        sync::{atomic::AtomicU64, Arc},
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two pulses to subscribers while something goes on.
const PULSE_TICKS: u32 = 3;
/// Ticks between two pulses while nothing does.
const IDLE_PULSE_TICKS: u32 = 117;

/// Work that the core gives to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentChore {
    /// Ask the engine for its whole cache.
    ListCache,
    /// Carry out an order.
    RunOrder(StampedOrder),
    /// Read the lease epoch.
    ReadEpoch,
}

/// What comes out of the control thread.
#[derive(Debug)]
pub struct ControlOutput {
    /// Chores, in order.
    pub chores: Receiver<AgentChore>,
}

struct ControlLoop {
    core: AgentCore,
    clock: ProcessClock,
    view: Arc<ArcSwap<AgentView>>,
    chores: Sender<AgentChore>,
    verdicts: HashMap<WorkTicket, Sender<GateVerdict>>,
    subscribers: SubscriberSet,
    told: Option<AgentPulse>,
}

/// Starts the control thread.
///
/// # Errors
/// When the thread cannot be started.
pub fn start_control(
    identity: AgentIdentity,
    clock: ProcessClock,
) -> io::Result<(ControlHandle, ControlOutput)> {
    let core = AgentCore::new(identity);
    let (messages, inbox) = async_channel::unbounded();
    let (chores, chore_inbox) = async_channel::unbounded();
    let view = Arc::new(ArcSwap::from_pointee(view_of(&core)));
    let handle = ControlHandle {
        messages,
        view: view.clone(),
        next_ticket: Arc::new(AtomicU64::new(1)),
    };
    let control = ControlLoop {
        core,
        clock,
        view,
        chores,
        verdicts: HashMap::new(),
        subscribers: SubscriberSet::default(),
        told: None,
    };
    let thread = thread::Builder::new().name("control".to_string());
    thread.spawn(move || smol::block_on(control.run(inbox)))?;
    let output = ControlOutput {
        chores: chore_inbox,
    };
    Ok((handle, output))
}

fn view_of(core: &AgentCore) -> AgentView {
    AgentView {
        pulse: core.pulse(),
        beacon: core.beacon(),
        idle: core.is_idle(),
        subscribers: 0,
    }
}

impl ControlLoop {
    async fn run(
        mut self,
        inbox: Receiver<ControlMessage>,
    ) {
        let mut next_tick = Instant::now() + TICK;
        let mut ticks = 0;
        loop {
            let message = future::or(async { Some(inbox.recv().await) }, async {
                Timer::at(next_tick).await;
                None
            });
            match message.await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_)) => return,
                None => {
                    next_tick = Instant::now() + TICK;
                    ticks += 1;
                    self.step(AgentEvent::Tick, None);
                    self.tell_pulse(ticks);
                }
            }
            while let Ok(message) = inbox.try_recv() {
                self.take(message);
            }
            let mut view = view_of(&self.core);
            view.subscribers = self.subscribers.len();
            self.view.store(Arc::new(view));
        }
    }

    /// Tells the pulse often while something goes on, and now and then as a sign of life.
    fn tell_pulse(
        &mut self,
        ticks: u32,
    ) {
        let pulse = self.core.pulse();
        // Whoever drains an endpoint waits for news of it.
        let awaited = pulse.load.running > 0 || pulse.refusing;
        let busy = awaited || self.told != Some(pulse);
        let due = if busy { PULSE_TICKS } else { IDLE_PULSE_TICKS };
        if ticks % due == 0 {
            self.subscribers.publish(&[], pulse);
            self.told = Some(pulse);
        }
    }

    fn take(
        &mut self,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Event(event) => self.step(event, None),
            ControlMessage::HandOver {
                ticket,
                work,
                verdict,
            } => {
                self.verdicts.insert(ticket, verdict);
                self.step(AgentEvent::HandedOver { ticket, work }, None);
            }
            ControlMessage::Order { order, verdict } => {
                self.step(AgentEvent::OrderReceived(order), Some(verdict));
            }
            ControlMessage::Subscribe { batches } => {
                let snapshot = self.core.snapshot();
                self.subscribers.add(batches, snapshot, self.core.pulse());
            }
        }
    }

    fn step(
        &mut self,
        event: AgentEvent,
        order_verdict: Option<Sender<Result<(), FenceRefusal>>>,
    ) {
        if let AgentEvent::Ended { ticket } = &event {
            self.verdicts.remove(ticket);
        }
        let actions = self.core.step(self.clock.now(), event);
        for action in actions {
            self.act(action, &order_verdict);
        }
    }

    fn act(
        &mut self,
        action: AgentAction,
        order_verdict: &Option<Sender<Result<(), FenceRefusal>>>,
    ) {
        match action {
            AgentAction::Start(ticket) => self.answer(ticket, GateVerdict::Start),
            AgentAction::Refuse(refusal) => {
                self.answer(refusal.ticket, GateVerdict::Refuse(refusal.kind))
            }
            AgentAction::Publish(events) => {
                self.subscribers.publish(&events, self.core.pulse());
            }
            AgentAction::ListCache => self.chore(AgentChore::ListCache),
            AgentAction::ReadEpoch => self.chore(AgentChore::ReadEpoch),
            AgentAction::RunOrder(order) => {
                tell_order(order_verdict, Ok(()));
                self.chore(AgentChore::RunOrder(order));
            }
            AgentAction::RefuseOrder(refusal) => {
                log::warn!(
                    event = "order-refused",
                    reason = refusal.to_string().as_str();
                    ""
                );
                tell_order(order_verdict, Err(refusal));
            }
        }
    }

    fn answer(
        &mut self,
        ticket: WorkTicket,
        verdict: GateVerdict,
    ) {
        if let Some(sender) = self.verdicts.remove(&ticket) {
            if sender.try_send(verdict).is_err() && verdict == GateVerdict::Start {
                // Its caller has gone before its turn came.
                self.step(AgentEvent::Ended { ticket }, None);
            }
        }
    }

    fn chore(
        &self,
        chore: AgentChore,
    ) {
        let _ = self.chores.try_send(chore);
    }
}

fn tell_order(
    verdict: &Option<Sender<Result<(), FenceRefusal>>>,
    result: Result<(), FenceRefusal>,
) {
    if let Some(sender) = verdict {
        let _ = sender.try_send(result);
    }
}
