use {
    async_channel::{Sender, TrySendError},
    pitchhitch_core::role::{AgentPulse, EndpointEvent, EventBatch},
};

/// Events in one batch at most, so that a batch stays far below the frame limit.
const MAX_BATCH_EVENTS: usize = 10_000;

#[derive(Debug)]
struct Subscriber {
    batches: Sender<EventBatch>,
    next_sequence: u64,
}

/// Entry processes that get this agent's events.
#[derive(Debug, Default)]
pub struct SubscriberSet {
    subscribers: Vec<Subscriber>,
}

impl SubscriberSet {
    /// Entry processes that get events.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether nobody gets events.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Adds a subscriber and sends it all that is known.
    pub fn add(
        &mut self,
        batches: Sender<EventBatch>,
        snapshot: Vec<EndpointEvent>,
        pulse: AgentPulse,
    ) {
        let mut subscriber = Subscriber {
            batches,
            next_sequence: 0,
        };
        if subscriber.send(&snapshot, pulse) {
            self.subscribers.push(subscriber);
        }
    }

    /// Sends events, or just the pulse when there are none.
    pub fn publish(
        &mut self,
        events: &[EndpointEvent],
        pulse: AgentPulse,
    ) {
        self.subscribers.retain_mut(|s| s.send(events, pulse));
    }
}

impl Subscriber {
    /// Sends events in batches; false when the subscriber is gone.
    ///
    /// A batch that does not fit is left out. The numbers go on, so the
    /// subscriber sees the gap and asks for everything anew.
    fn send(
        &mut self,
        events: &[EndpointEvent],
        pulse: AgentPulse,
    ) -> bool {
        if events.is_empty() {
            return self.send_batch(&[], pulse);
        }
        events
            .chunks(MAX_BATCH_EVENTS)
            .all(|chunk| self.send_batch(chunk, pulse))
    }

    fn send_batch(
        &mut self,
        events: &[EndpointEvent],
        pulse: AgentPulse,
    ) -> bool {
        let batch = EventBatch {
            first: self.next_sequence,
            events: events.to_vec(),
            pulse,
        };
        self.next_sequence += events.len() as u64;
        !matches!(self.batches.try_send(batch), Err(TrySendError::Closed(_)))
    }
}
