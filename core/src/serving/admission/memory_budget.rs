/// Share of a process's memory limit, in percent, that may hold data of requests. The rest is for
/// the process's own state, buffers of connections and the allocator.
const HELD_PERCENT: u64 = 40;

/// Share of these, in percent, that answers may take. One that finds no room is passed on as it
/// arrives, while a request that finds none is refused.
const ANSWER_PERCENT: u64 = 50;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// The body of a request.
    Request,
    /// An answer that is buffered until it is complete.
    Answer,
}

/// Bytes that a process holds for callers and endpoints: bodies of requests and answers that have
/// not been passed on. A process that exceeds its memory limit is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    limit: u64,
    used: u64,
}

impl MemoryBudget {
    /// Budget of a process with a memory limit in megabytes.
    pub fn for_process(memory_mb: u64) -> Self {
        MemoryBudget {
            limit: memory_mb.saturating_mul(1_000_000) / 100 * HELD_PERCENT,
            used: 0,
        }
    }

    /// Whether this many more bytes can be held.
    pub fn can_hold(
        &self,
        kind: HeldKind,
        bytes: u64,
    ) -> bool {
        let limit = match kind {
            HeldKind::Request => self.limit,
            HeldKind::Answer => self.limit / 100 * ANSWER_PERCENT,
        };
        self.used.saturating_add(bytes) <= limit
    }

    /// Holds this many more bytes if there is room for them.
    pub fn try_hold(
        &mut self,
        kind: HeldKind,
        bytes: u64,
    ) -> bool {
        let can_hold = self.can_hold(kind, bytes);
        if can_hold {
            self.used += bytes;
        }
        can_hold
    }

    /// Releases held bytes.
    pub fn release(
        &mut self,
        bytes: u64,
    ) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Bytes that are held.
    pub fn used(&self) -> u64 {
        self.used
    }
}
