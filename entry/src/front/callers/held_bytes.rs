use {
    crate::front::FrontContext,
    pitchhitch_core::{serving::HeldKind, time::Micros},
};

/// Bytes of one request that count towards the memory budget of the process until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes<'a> {
    front: &'a FrontContext,
    kind: HeldKind,
    bytes: u64,
}

impl<'a> HeldBytes<'a> {
    /// Holds nothing so far.
    pub fn new(
        front: &'a FrontContext,
        kind: HeldKind,
    ) -> Self {
        HeldBytes {
            front,
            kind,
            bytes: 0,
        }
    }

    /// Current time of the front.
    pub fn now(&self) -> Micros {
        self.front.now()
    }

    /// Holds this many more bytes; false if the budget has no room for them.
    pub fn try_grow(
        &mut self,
        bytes: usize,
    ) -> bool {
        let bytes = bytes as u64;
        let has_room = self.front.state().memory_budget.try_hold(self.kind, bytes);
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.front.state().memory_budget.release(self.bytes);
        }
    }
}
