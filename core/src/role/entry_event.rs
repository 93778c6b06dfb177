use {
    super::{AgentPulse, EventBatch, WorkTicket},
    crate::{
        conf::{ChangeRecord, FleetConfig},
        errors::ErrorKind,
        kv_cache::{PieceKey, StoreTier},
        lease::LeaseRow,
        membership::{AgentBeacon, EntryBeacon},
        route::InFlightLoad,
        time::Micros,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// What can happen to the control state of an entry process.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// Some time has passed.
    Tick,
    /// The table answered a look at the configuration.
    TableReached,
    /// A configuration was read from the table or a peer.
    ConfigRead(Arc<FleetConfig>),
    /// Changes that follow on the configuration were read.
    ChangesRead(Vec<ChangeRecord>),
    /// An agent's beacon came; `own` is what this process has under way there.
    AgentHeard {
        /// The beacon.
        beacon: AgentBeacon,
        /// Own work at that moment.
        own: InFlightLoad,
    },
    /// Another entry process's beacon came.
    PeerHeard(EntryBeacon),
    /// An agent's events came over its link.
    AgentSaid {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Life of the agent that the link leads to.
        incarnation: u64,
        /// The events.
        batch: EventBatch,
        /// Own work at that moment.
        own: InFlightLoad,
    },
    /// The event stream of an agent began anew; a whole list of its state follows.
    StreamOpened {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Life of the agent.
        incarnation: u64,
    },
    /// The link to an agent broke.
    LinkLost {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// An answer carried the agent's state.
    PulseSeen {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The state.
        pulse: AgentPulse,
        /// Own work at that moment.
        own: InFlightLoad,
    },
    /// The box list was read.
    BoxesListed(Vec<BoxNotice>),
    /// A store box listed the pieces that it holds.
    StoreListed {
        /// Name of the box.
        store: String,
        /// Its pieces.
        pieces: Vec<StoredPiece>,
    },
    /// A store box's link was measured.
    StoreMeasured {
        /// Name of the box.
        store: String,
        /// Bytes a second.
        link_rate: f64,
    },
    /// A prompt was sent to an endpoint.
    Routed {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Keys of the whole pieces of the prompt.
        pieces: Vec<PieceKey>,
    },
    /// An agent said that it has a request.
    TakenUp {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Number that the agent gave to the request.
        ticket: WorkTicket,
    },
    /// A try at an endpoint ended; `failure` tells how it failed.
    TryEnded {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The failure; none for an answer.
        failure: Option<ErrorKind>,
    },
    /// A lease row was read.
    LeaseRead {
        /// Shard of the lease.
        shard: String,
        /// The row; none when there is none.
        row: Option<LeaseRow>,
        /// Its table version; zero when there is none.
        version: u64,
        /// When the read was sent.
        asked_at: Micros,
    },
    /// A lease row was written.
    LeaseWritten {
        /// Shard of the lease.
        shard: String,
        /// Its new table version.
        version: u64,
    },
    /// A lease row had changed before the write.
    LeaseRefused {
        /// Shard of the lease.
        shard: String,
    },
    /// Nobody knows whether a write of a lease row took effect.
    LeaseUnknown {
        /// Shard of the lease.
        shard: String,
    },
    /// An agent did not take an order, or could not be reached with it.
    OrderFailed {
        /// Id of the endpoint.
        endpoint_id: String,
    },
}

/// One box of the box list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxNotice {
    /// Id of the box.
    pub id: String,
    /// What runs on it.
    pub role: BoxRole,
    /// Group that it belongs to; empty for entry boxes.
    pub group: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Address of what runs on it.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What runs on a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxRole {
    /// An entry process.
    Entry,
    /// An endpoint with its agent.
    Endpoint,
    /// A store for kept pieces.
    Store,
}

/// One piece on a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredPiece {
    /// The piece.
    pub key: PieceKey,
    /// Its tier.
    pub tier: StoreTier,
    /// Its generation.
    pub generation: u64,
}
