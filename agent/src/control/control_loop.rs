use {
    super::{AgentView, ControlHandle, ControlMessage, GateDecision, SubscriberSet},
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

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two pulses to subscribers while requests run, work is refused or the pulse
/// changes.
const PULSE_INTERVAL_TICKS: u32 = 3;
/// Ticks between two pulses otherwise.
const IDLE_PULSE_INTERVAL_TICKS: u32 = 117;

/// Task that the state machine leaves to an asynchronous worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentTask {
    /// List the engine's whole cache.
    ListCache,
    /// Execute an order.
    RunOrder(StampedOrder),
    /// Read the lease epoch.
    ReadEpoch,
}

/// Output of the control thread.
#[derive(Debug)]
pub struct ControlOutput {
    /// Tasks to run, in order.
    pub tasks: Receiver<AgentTask>,
}

struct ControlLoop {
    core: AgentCore,
    clock: ProcessClock,
    view: Arc<ArcSwap<AgentView>>,
    tasks: Sender<AgentTask>,
    decisions: HashMap<WorkTicket, Sender<GateDecision>>,
    subscribers: SubscriberSet,
    last_pulse: Option<AgentPulse>,
}

/// Starts the control thread.
///
/// # Errors
/// If the thread cannot be started.
pub fn start_control(
    identity: AgentIdentity,
    clock: ProcessClock,
) -> io::Result<(ControlHandle, ControlOutput)> {
    let core = AgentCore::new(identity);
    let (messages, inbox) = async_channel::unbounded();
    let (tasks, task_receiver) = async_channel::unbounded();
    let view = Arc::new(ArcSwap::from_pointee(build_view(&core)));
    let handle = ControlHandle {
        messages,
        view: view.clone(),
        next_ticket: Arc::new(AtomicU64::new(1)),
    };
    let control = ControlLoop {
        core,
        clock,
        view,
        tasks,
        decisions: HashMap::new(),
        subscribers: SubscriberSet::default(),
        last_pulse: None,
    };
    let thread = thread::Builder::new().name("control".to_string());
    thread.spawn(move || smol::block_on(control.run(inbox)))?;
    let output = ControlOutput {
        tasks: task_receiver,
    };
    Ok((handle, output))
}

fn build_view(core: &AgentCore) -> AgentView {
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
        let mut next_tick = Instant::now() + TICK_INTERVAL;
        let mut ticks = 0;
        loop {
            let message = future::or(async { Some(inbox.recv().await) }, async {
                Timer::at(next_tick).await;
                None
            });
            match message.await {
                Some(Ok(message)) => self.handle_message(message),
                Some(Err(_)) => return,
                None => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    ticks += 1;
                    self.step(AgentEvent::Tick, None);
                    self.publish_pulse(ticks);
                }
            }
            while let Ok(message) = inbox.try_recv() {
                self.handle_message(message);
            }
            let mut view = build_view(&self.core);
            view.subscribers = self.subscribers.len();
            self.view.store(Arc::new(view));
        }
    }

    /// Publishes the pulse at the short interval while the agent is active, otherwise at the
    /// long one as a heartbeat.
    fn publish_pulse(
        &mut self,
        ticks: u32,
    ) {
        let pulse = self.core.pulse();
        // Entry processes evaluate a drain only from recent pulses, also when no request runs.
        let running_or_refusing = pulse.load.running > 0 || pulse.refusing;
        let active = running_or_refusing || self.last_pulse != Some(pulse);
        let interval = if active {
            PULSE_INTERVAL_TICKS
        } else {
            IDLE_PULSE_INTERVAL_TICKS
        };
        if ticks % interval == 0 {
            self.subscribers.publish(&[], pulse);
            self.last_pulse = Some(pulse);
        }
    }

    fn handle_message(
        &mut self,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Event(event) => self.step(event, None),
            ControlMessage::HandOver {
                ticket,
                work,
                decision,
            } => {
                self.decisions.insert(ticket, decision);
                self.step(AgentEvent::HandedOver { ticket, work }, None);
            }
            ControlMessage::Order { order, result } => {
                self.step(AgentEvent::OrderReceived(order), Some(result));
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
        order_result: Option<Sender<Result<(), FenceRefusal>>>,
    ) {
        if let AgentEvent::Ended { ticket } = &event {
            self.decisions.remove(ticket);
        }
        let actions = self.core.step(self.clock.now(), event);
        for action in actions {
            self.execute(action, &order_result);
        }
    }

    fn execute(
        &mut self,
        action: AgentAction,
        order_result: &Option<Sender<Result<(), FenceRefusal>>>,
    ) {
        match action {
            AgentAction::Start(ticket) => self.send_decision(ticket, GateDecision::Start),
            AgentAction::Refuse(refusal) => {
                self.send_decision(refusal.ticket, GateDecision::Refuse(refusal.kind))
            }
            AgentAction::Publish(events) => {
                self.subscribers.publish(&events, self.core.pulse());
            }
            AgentAction::ListCache => self.queue_task(AgentTask::ListCache),
            AgentAction::ReadEpoch => self.queue_task(AgentTask::ReadEpoch),
            AgentAction::RunOrder(order) => {
                send_order_result(order_result, Ok(()));
                self.queue_task(AgentTask::RunOrder(order));
            }
            AgentAction::RefuseOrder(refusal) => {
                log::warn!(
                    event = "order-refused",
                    reason = refusal.to_string().as_str();
                    ""
                );
                send_order_result(order_result, Err(refusal));
            }
        }
    }

    fn send_decision(
        &mut self,
        ticket: WorkTicket,
        decision: GateDecision,
    ) {
        if let Some(sender) = self.decisions.remove(&ticket) {
            if sender.try_send(decision).is_err() && decision == GateDecision::Start {
                // The caller disconnected while the request was queued.
                self.step(AgentEvent::Ended { ticket }, None);
            }
        }
    }

    fn queue_task(
        &self,
        task: AgentTask,
    ) {
        let _ = self.tasks.try_send(task);
    }
}

fn send_order_result(
    sender: &Option<Sender<Result<(), FenceRefusal>>>,
    result: Result<(), FenceRefusal>,
) {
    if let Some(sender) = sender {
        let _ = sender.try_send(result);
    }
}
