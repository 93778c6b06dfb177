use {
    super::{
        ConfigNotice, GateWork, OrderOutcome, PromptUse, StampedOrder, StoredNotice, WorkTicket,
    },
    crate::kv_cache::PieceKey,
};

/// Input of an [`AgentCore`](super::AgentCore).
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// Periodic timer.
    Tick,
    /// An entry process hands over a request.
    HandedOver {
        /// Ticket that the host assigned to it.
        ticket: WorkTicket,
        /// What the gate needs for the decision.
        work: GateWork,
    },
    /// The imports of a started request are done and it is sent to the endpoint.
    Sent {
        /// Ticket of the request.
        ticket: WorkTicket,
        /// The prompt; none when it is shorter than one piece.
        prompt: Option<PromptUse>,
    },
    /// A store box had no free space for a piece.
    StoreFull {
        /// Name of the store box.
        store: String,
    },
    /// The first byte of the response to a started request arrived.
    FirstToken {
        /// Ticket of the request.
        ticket: WorkTicket,
        /// Prompt tokens that the endpoint computed for it; none when it does not report them.
        computed: Option<u32>,
    },
    /// A request ended: it was completed, it failed or its caller disconnected.
    Ended {
        /// Ticket of the request.
        ticket: WorkTicket,
    },
    /// Result of a health check of the endpoint.
    HealthChecked {
        /// Whether the endpoint responded.
        healthy: bool,
        /// Loaded weight version; none for a service or without a response.
        version: Option<String>,
    },
    /// The engine published changes of its cache.
    CacheChanged {
        /// Sequence number of the first change.
        first: u64,
        /// The changes.
        changes: Vec<CacheChange>,
    },
    /// The engine listed its whole cache.
    CacheListed {
        /// Sequence number of the next change.
        next: u64,
        /// Keys of all cached pieces.
        keys: Vec<PieceKey>,
    },
    /// A piece was completely written to a store box.
    Stored(StoredNotice),
    /// A piece was not found on a store box where it was expected.
    Missing(super::MissingNotice),
    /// Change of the number of pieces to export: positive when exports were queued, negative when
    /// they ended.
    ExportCountChanged(i32),
    /// An entry process sent the configuration of this endpoint.
    ConfigNoticeReceived(ConfigNotice),
    /// The box list or the operating system announced that this box is leaving.
    BoxLeaving,
    /// The lease epoch of this endpoint's shard was read from the table.
    EpochRead(u64),
    /// An entry process sent an order.
    OrderReceived(StampedOrder),
    /// Execution of an order ended.
    OrderEnded(OrderOutcome),
}

/// One change of the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece was cached.
    Added(PieceKey),
    /// A piece was evicted.
    Dropped(PieceKey),
    /// The whole cache was cleared.
    Cleared,
}
