use {
    super::CallKey,
    pitchhitch_core::{
        serving::{EngineLoad, PartId, PromptPart},
        time::Micros,
    },
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// Which send of which request something is about: a request may be sent to a
/// second engine, and news of the first are then out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendKey {
    /// Request.
    pub call: CallKey,
    /// Number of the send, over all tries of its caller.
    pub send: u32,
}

/// An engine between two times that it went down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLife {
    /// Number of the engine.
    pub engine: usize,
    /// Number of its life; it rises when the engine goes down.
    pub life: u32,
}

/// Something that happens in a model.
#[derive(Debug, Clone)]
pub enum ModelEvent {
    /// A caller's request is at its front.
    Asks(CallKey),
    /// A request is at its engine.
    Reaches(SendKey),
    /// A request may be read at its engine: what is fetched for it is there.
    Ready(SendKey, EngineLife),
    /// A part that an engine fetches is there.
    Fetched(usize, PromptPart),
    /// An engine ends a step.
    StepEnds(EngineLife),
    /// A front hears that an answer has begun.
    Begun(SendKey),
    /// A front hears that an answer has ended, and its longest pause.
    Ended(SendKey, Micros),
    /// A front learns that an engine has lost a request.
    Lost(SendKey),
    /// An engine takes stock.
    Reports(usize),
    /// Fronts hear an engine's report, and which parts it keeps or let go.
    Reported(usize, EngineLoad, Vec<(PartId, u32)>),
    /// A part is saved in a store.
    Saved(usize, PromptPart),
    /// Fronts hear that a store has a part.
    SavedHeard(usize, PromptPart),
    /// Fronts hear that stores live.
    StoresAnswer,
    /// The deadline of a request passes.
    Deadline(CallKey),
    /// A caller leaves.
    Leaves(CallKey),
    /// The first so many engines go down.
    GoDown(usize),
    /// They come back.
    ComeUp(usize),
}

#[derive(Debug)]
struct QueuedEvent {
    at: Micros,
    number: u64,
    event: ModelEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(
        &self,
        other: &Self,
    ) -> bool {
        self.number == other.number
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
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// What is to happen, in the order of a virtual clock.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    puts: u64,
}

impl EventQueue {
    /// Puts an event at a time.
    pub fn put(
        &mut self,
        at: Micros,
        event: ModelEvent,
    ) {
        self.puts += 1;
        self.events.push(QueuedEvent {
            at,
            number: self.puts,
            event,
        });
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Micros, ModelEvent)> {
        let queued = self.events.pop()?;
        Some((queued.at, queued.event))
    }
}
