use crate::serving::EndpointKey;

/// Maximum number of moves in progress at a front.
const MAX_MOVES: usize = 2;

/// Limits the moves in progress at a front: two, and one from each engine, as copies queue on the
/// links of both engines.
#[derive(Debug, Clone, Default)]
pub struct MoveSlots {
    sources: Vec<EndpointKey>,
}

impl MoveSlots {
    /// Takes a slot for a move away from an engine; false if there is none.
    pub fn try_acquire(
        &mut self,
        source: EndpointKey,
    ) -> bool {
        let is_free = self.sources.len() < MAX_MOVES && !self.sources.contains(&source);
        if is_free {
            self.sources.push(source);
        }
        is_free
    }

    /// Returns the slot of a move away from an engine.
    pub fn release(
        &mut self,
        source: EndpointKey,
    ) {
        self.sources.retain(|other| *other != source);
    }
}
