use {
    super::AgentView,
    arc_swap::ArcSwap,
    async_channel::{Receiver, Sender},
    pitchhitch_core::{
        errors::ErrorKind,
        lease::FenceRefusal,
        role::{AgentEvent, EventBatch, GateWork, StampedOrder, WorkTicket},
    },
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

/// What the gate said about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// It may go to the endpoint now.
    Start,
    /// It did not run and will not.
    Refuse(ErrorKind),
}

/// What the control thread takes.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for the core.
    Event(AgentEvent),
    /// A request for the gate.
    HandOver {
        /// Its ticket.
        ticket: WorkTicket,
        /// What the gate needs to know.
        work: GateWork,
        /// Where the verdict goes.
        decision: Sender<GateDecision>,
    },
    /// An order for the fence.
    Order {
        /// The order.
        order: StampedOrder,
        /// Where the verdict goes.
        result: Sender<Result<(), FenceRefusal>>,
    },
    /// A new subscriber.
    Subscribe {
        /// Where its batches go.
        batches: Sender<EventBatch>,
    },
}

/// How traffic talks to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    pub(super) messages: Sender<ControlMessage>,
    pub(super) view: Arc<ArcSwap<AgentView>>,
    pub(super) next_ticket: Arc<AtomicU64>,
}

impl ControlHandle {
    /// Tells the core an event.
    pub fn send_event(
        &self,
        event: AgentEvent,
    ) {
        self.send(ControlMessage::Event(event));
    }

    /// The present view.
    pub fn view(&self) -> Arc<AgentView> {
        self.view.load_full()
    }

    /// Whether nothing runs, waits or is carried away.
    pub fn is_idle(&self) -> bool {
        self.view.load().idle
    }

    /// Puts a request before the gate.
    pub fn hand_over(
        &self,
        work: GateWork,
    ) -> PendingWork {
        let ticket = WorkTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (decision, receiver) = async_channel::bounded(1);
        self.send(ControlMessage::HandOver {
            ticket,
            work,
            decision,
        });
        PendingWork {
            ticket,
            decision: receiver,
        }
    }

    /// Puts an order before the fence.
    ///
    /// # Errors
    /// [`FenceRefusal`] when it does not pass.
    pub async fn order(
        &self,
        order: StampedOrder,
    ) -> Result<(), FenceRefusal> {
        let (result, receiver) = async_channel::bounded(1);
        self.send(ControlMessage::Order { order, result });
        receiver
            .recv()
            .await
            .unwrap_or(Err(FenceRefusal::EpochUnknown))
    }

    /// Subscribes to events.
    pub fn subscribe(
        &self,
        batches: Sender<EventBatch>,
    ) {
        self.send(ControlMessage::Subscribe { batches });
    }

    fn send(
        &self,
        message: ControlMessage,
    ) {
        // The channel has no bound and lives as long as the process.
        let _ = self.messages.try_send(message);
    }
}

/// A request that the gate has not decided about.
#[derive(Debug)]
pub struct PendingWork {
    /// Its ticket.
    pub ticket: WorkTicket,
    decision: Receiver<GateDecision>,
}

impl PendingWork {
    /// Waits for the verdict.
    pub async fn decision(&self) -> GateDecision {
        let decision = self.decision.recv().await;
        decision.unwrap_or(GateDecision::Refuse(ErrorKind::EndpointUnreachable))
    }
}
