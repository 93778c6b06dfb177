use {
    super::{
        ConfigNotice, GateWork, OrderOutcome, PromptUse, StampedOrder, StoredNotice, WorkTicket,
    },
    crate::kv_cache::PieceKey,
};

/// What can happen to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// Some time has passed.
    Tick,
    /// An entry process hands over work.
    HandedOver {
        /// Ticket that the host gave it.
        ticket: WorkTicket,
        /// What the gate needs to know.
        work: GateWork,
    },
    /// Started work goes to the endpoint now, its imports being done.
    Sent {
        /// The work.
        ticket: WorkTicket,
        /// The prompt, if it is one that can return.
        prompt: Option<PromptUse>,
    },
    /// A store box had no room.
    StoreFull {
        /// Name of the store box.
        store: String,
    },
    /// The first answer byte of started work has come.
    FirstToken {
        /// The work.
        ticket: WorkTicket,
        /// Prompt tokens that the endpoint computed for it, if it says so.
        computed: Option<u32>,
    },
    /// Work has ended, by an answer, a failure or because its caller went away.
    Ended {
        /// The work.
        ticket: WorkTicket,
    },
    /// The endpoint answered a health check, or did not.
    HealthSeen {
        /// Whether it answered.
        healthy: bool,
        /// Weight version that it holds, if it is an engine and answered.
        version: Option<String>,
    },
    /// The engine published cache news.
    CacheNews {
        /// Number of the first change.
        first: u64,
        /// The changes.
        changes: Vec<CacheChange>,
    },
    /// The engine listed its whole cache.
    CacheListed {
        /// Number that the next change will have.
        next: u64,
        /// All pieces it holds.
        keys: Vec<PieceKey>,
    },
    /// A piece was sealed on a store box.
    Stored(StoredNotice),
    /// A piece was not found on a store box.
    Missing(super::MissingNotice),
    /// Exports began (positive) or ended (negative).
    ExportCount(i32),
    /// An entry process sent what the configuration says.
    Noticed(ConfigNotice),
    /// The box list or the operating system says that this box is leaving.
    BoxLeaving,
    /// The table was read for the epoch of this endpoint's shard.
    EpochRead(u64),
    /// An entry process gives an order.
    Ordered(StampedOrder),
    /// An order ended.
    OrderEnded(OrderOutcome),
}

/// A change of the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece came in.
    Added(PieceKey),
    /// A piece was dropped.
    Dropped(PieceKey),
    /// Everything was dropped.
    Cleared,
}
