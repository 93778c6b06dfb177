use {
    async_channel::{Sender, TrySendError},
    pitchhitch_core::role::{AgentPulse, EndpointEvent, EventBatch},
};

/// Maximum number of events in a batch, which keeps batches far below the frame limit.
const MAX_BATCH_EVENTS: usize = 10_000;

#[derive(Debug)]
struct Subscriber {
    batches: Sender<EventBatch>,
    next_sequence: u64,
}

/// Entry processes that subscribe to this agent's events.
#[derive(Debug, Default)]
pub struct SubscriberSet {
    subscribers: Vec<Subscriber>,
}

impl SubscriberSet {
    /// Returns the number of subscribers.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether there are no subscribers.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Adds a subscriber and sends it a snapshot.
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

    /// Sends events and the pulse to all subscribers; a batch without events if there are
    /// none. Removes closed subscribers.
    pub fn publish(
        &mut self,
        events: &[EndpointEvent],
        pulse: AgentPulse,
    ) {
        self.subscribers.retain_mut(|s| s.send(events, pulse));
    }
}

impl Subscriber {
    /// Sends events in batches; returns false if the subscriber's channel is closed.
    ///
    /// A batch is dropped if the channel is full. Sequence numbers still advance, so the
    /// subscriber detects the gap and requests a new snapshot.
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
