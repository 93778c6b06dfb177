use {
    super::RequestKey,
    pitchhitch_core::{
        serving::{EngineLoad, PartId, PromptPart},
        time::Micros,
    },
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// Identifies one attempt of a request. A request may be sent to a second engine; events of its
/// first attempt are then outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Request.
    pub request: RequestKey,
    /// Number of the attempt, counted over all retries of the caller.
    pub number: u32,
}

/// An engine between two stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineIncarnation {
    /// Index of the engine.
    pub engine: usize,
    /// Incarnation number; it increases with each stop.
    pub incarnation: u32,
}

/// An event of the simulation.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A caller's request arrives at its front.
    RequestArrived(RequestKey),
    /// An attempt arrives at its engine.
    AttemptArrived(AttemptKey),
    /// A request's fetches have finished and it can be prefilled.
    PrefillReady(AttemptKey, EngineIncarnation),
    /// A part that an engine fetched has arrived.
    PartFetched(usize, PromptPart),
    /// An engine ends a step.
    StepEnded(EngineIncarnation),
    /// A front receives the first token of a response.
    FirstToken(AttemptKey),
    /// A front receives the end of a response, with the longest pause in it.
    ResponseEnded(AttemptKey, Micros),
    /// A front learns that an engine has lost an attempt.
    AttemptLost(AttemptKey),
    /// An engine samples its load for a report.
    ReportDue(usize),
    /// Fronts receive an engine's load and the parts that it added or evicted.
    ReportReceived(usize, EngineLoad, Vec<(PartId, u32)>),
    /// A part has been saved to a store.
    PartSaved(usize, PromptPart),
    /// Fronts learn that a store has a part.
    SaveReported(usize, PromptPart),
    /// Fronts poll all stores.
    StoresPolled,
    /// A request's deadline passes.
    Deadline(RequestKey),
    /// A caller leaves.
    CallerLeft(RequestKey),
    /// This many engines stop, counted from the first.
    EnginesStopped(usize),
    /// The same engines start again.
    EnginesStarted(usize),
}

#[derive(Debug)]
struct QueuedEvent {
    at: Micros,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(
        &self,
        other: &Self,
    ) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(
        &self,
        other: &Self,
    ) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    /// Reversed, as the heap pops the greatest: the earliest event first, at equal times the one
    /// that was pushed first.
    fn cmp(
        &self,
        other: &Self,
    ) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Future events, in the order of the virtual clock.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    pushed: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(
        &mut self,
        at: Micros,
        event: SimEvent,
    ) {
        self.pushed += 1;
        self.events.push(QueuedEvent {
            at,
            sequence: self.pushed,
            event,
        });
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Micros, SimEvent)> {
        let queued = self.events.pop()?;
        Some((queued.at, queued.event))
    }
}
