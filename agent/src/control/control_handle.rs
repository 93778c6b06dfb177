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

/// Decision of the admission gate about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// Start it on the endpoint now.
    Start,
    /// Refuse it; it did not run.
    Refuse(ErrorKind),
}

/// Message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for the state machine.
    Event(AgentEvent),
    /// A request for the gate.
    HandOver {
        /// Ticket of the request.
        ticket: WorkTicket,
        /// Properties on which the gate decides.
        work: GateWork,
        /// Channel for the decision.
        decision: Sender<GateDecision>,
    },
    /// An order for the fence.
    Order {
        /// The order.
        order: StampedOrder,
        /// Channel for the result of the fencing check.
        result: Sender<Result<(), FenceRefusal>>,
    },
    /// A new subscriber.
    Subscribe {
        /// Channel for its batches.
        batches: Sender<EventBatch>,
    },
}

/// Handle through which other tasks communicate with the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    pub(super) messages: Sender<ControlMessage>,
    pub(super) view: Arc<ArcSwap<AgentView>>,
    pub(super) next_ticket: Arc<AtomicU64>,
}

impl ControlHandle {
    /// Sends an event to the state machine.
    pub fn send_event(
        &self,
        event: AgentEvent,
    ) {
        self.send(ControlMessage::Event(event));
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<AgentView> {
        self.view.load_full()
    }

    /// Whether no request is running or queued and no piece is being exported.
    pub fn is_idle(&self) -> bool {
        self.view.load().idle
    }

    /// Submits a request to the gate.
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

    /// Submits an order to the fence and waits for the result.
    ///
    /// # Errors
    /// [`FenceRefusal`] if the fence refuses it.
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
        // The channel is unbounded and exists as long as the process.
        let _ = self.messages.try_send(message);
    }
}

/// A request that awaits the decision of the gate.
#[derive(Debug)]
pub struct PendingWork {
    /// Ticket of the request.
    pub ticket: WorkTicket,
    decision: Receiver<GateDecision>,
}

impl PendingWork {
    /// Waits for the decision.
    pub async fn decision(&self) -> GateDecision {
        let decision = self.decision.recv().await;
        decision.unwrap_or(GateDecision::Refuse(ErrorKind::EndpointUnreachable))
    }
}
