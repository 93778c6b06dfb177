use {
    super::RequestKey,
    pitchhitch_core::{
        serving::{EngineLoad, PartId, PromptPart},
        time::Micros,
    },
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// Which send of which request something is about: a request may be sent to a
/// second engine, and news of the first are then out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Request.
    pub request: RequestKey,
    /// Number of the send, over all tries of its caller.
    pub number: u32,
}

/// An engine between two times that it went down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineIncarnation {
    /// Number of the engine.
    pub engine: usize,
    /// Number of its life; it rises when the engine goes down.
    pub incarnation: u32,
}

/// Something that happens in a model.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A caller's request is at its front.
    RequestArrived(RequestKey),
    /// A request is at its engine.
    AttemptArrived(AttemptKey),
    /// A request may be read at its engine: what is fetched for it is there.
    PrefillReady(AttemptKey, EngineIncarnation),
    /// A part that an engine fetches is there.
    PartFetched(usize, PromptPart),
    /// An engine ends a step.
    StepEnded(EngineIncarnation),
    /// A front hears that an answer has begun.
    FirstToken(AttemptKey),
    /// A front hears that an answer has ended, and its longest pause.
    ResponseEnded(AttemptKey, Micros),
    /// A front learns that an engine has lost a request.
    AttemptLost(AttemptKey),
    /// An engine takes stock.
    ReportDue(usize),
    /// Fronts hear an engine's report, and which parts it keeps or let go.
    ReportReceived(usize, EngineLoad, Vec<(PartId, u32)>),
    /// A part is saved in a store.
    PartSaved(usize, PromptPart),
    /// Fronts hear that a store has a part.
    SaveReported(usize, PromptPart),
    /// Fronts hear that stores live.
    StoresPolled,
    /// The deadline of a request passes.
    Deadline(RequestKey),
    /// A caller leaves.
    CallerLeft(RequestKey),
    /// The first so many engines go down.
    EnginesStopped(usize),
    /// They come back.
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
    /// The earliest is the greatest; of one time, that which was put first.
    fn cmp(
        &self,
        other: &Self,
    ) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// What is to happen, in the order of a virtual clock.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    pushed: u64,
}

impl EventQueue {
    /// Puts an event at a time.
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

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Micros, SimEvent)> {
        let queued = self.events.pop()?;
        Some((queued.at, queued.event))
    }
}
