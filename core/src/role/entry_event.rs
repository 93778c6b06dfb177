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

/// Input of an [`EntryCore`](super::EntryCore).
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// Periodic timer.
    Tick,
    /// A read of the configuration from the table succeeded.
    TableReached,
    /// A configuration was read from the table or a peer.
    ConfigRead(Arc<FleetConfig>),
    /// Configuration changes after the current revision were read.
    ChangesRead(Vec<ChangeRecord>),
    /// A beacon of an agent arrived.
    AgentBeaconReceived {
        /// The beacon.
        beacon: AgentBeacon,
        /// Load that this process has in flight to the endpoint.
        own: InFlightLoad,
    },
    /// A beacon of another entry process arrived.
    PeerBeaconReceived(EntryBeacon),
    /// A batch of events arrived over the link to an agent.
    AgentEventsReceived {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Incarnation of the agent at the other end of the link.
        incarnation: u64,
        /// The events.
        batch: EventBatch,
        /// Load that this process has in flight to the endpoint.
        own: InFlightLoad,
    },
    /// The event stream of an agent was opened; its first batch is a full snapshot.
    StreamOpened {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Incarnation of the agent.
        incarnation: u64,
    },
    /// The link to an agent was lost.
    LinkLost {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// A reply carried the agent's pulse.
    PulseReceived {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The pulse.
        pulse: AgentPulse,
        /// Load that this process has in flight to the endpoint.
        own: InFlightLoad,
    },
    /// The box list was read.
    BoxesListed(Vec<ListedBox>),
    /// A listing of the pieces on a store box arrived.
    StoreListed {
        /// Name of the store box.
        store: String,
        /// The pieces.
        pieces: Vec<StoredPiece>,
    },
    /// The transfer rate from a store box was measured.
    StoreMeasured {
        /// Name of the store box.
        store: String,
        /// Transfer rate in bytes per second.
        link_rate: f64,
    },
    /// A request was sent to an endpoint.
    Routed {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Keys of the complete pieces of its prompt.
        pieces: Vec<PieceKey>,
    },
    /// An agent acknowledged a request.
    TakenUp {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Ticket that the agent assigned to the request.
        ticket: WorkTicket,
    },
    /// An attempt of a request at an endpoint ended.
    AttemptEnded {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Kind of failure; none when the endpoint responded.
        failure: Option<ErrorKind>,
    },
    /// A lease row was read.
    LeaseRead {
        /// Shard of the lease.
        shard: String,
        /// The row; none when it does not exist.
        row: Option<LeaseRow>,
        /// Its table version; zero when the row does not exist.
        version: u64,
        /// Time when the read was sent.
        requested_at: Micros,
    },
    /// A lease row was written.
    LeaseWritten {
        /// Shard of the lease.
        shard: String,
        /// Its new table version.
        version: u64,
    },
    /// A write of a lease row failed because the row had changed.
    LeaseWriteConflict {
        /// Shard of the lease.
        shard: String,
    },
    /// It is unknown whether a write of a lease row took effect.
    LeaseWriteUnknown {
        /// Shard of the lease.
        shard: String,
    },
    /// An agent refused an order or could not be reached.
    OrderFailed {
        /// Id of the endpoint.
        endpoint_id: String,
    },
}

/// Entry of the box list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBox {
    /// Id of the box.
    pub id: String,
    /// Role of the box.
    pub role: BoxRole,
    /// Group that it belongs to; empty for entry boxes.
    pub group: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Address of the process on the box, where an entry process receives beacons, an agent
    /// accepts links and a store serves HTTP.
    pub address: SocketAddr,
    /// Whether the box is leaving.
    pub leaving: bool,
}

/// Role of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoxRole {
    /// An entry process.
    Entry,
    /// An endpoint with its agent.
    Endpoint,
    /// A store of cached pieces.
    Store,
}

/// A piece on a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredPiece {
    /// The piece.
    pub key: PieceKey,
    /// Storage tier.
    pub tier: StoreTier,
    /// Generation of the stored copy.
    pub generation: u64,
}
