use {
    super::{ConfigNotice, StampedOrder, StoredPiece},
    crate::{
        lease::LeaseRow,
        place::ReuseModel,
        route::{EndpointState, RouteTable},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// What an entry process's host is to do.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Give the traffic threads a new view.
    Publish {
        /// The view for routing.
        table: Arc<RouteTable>,
        /// What is known of returns.
        returns: Arc<ReuseModel>,
        /// Entry processes that share the load, this one included.
        entries: u32,
    },
    /// Link up with an agent, or with its next life.
    Connect(Arc<EndpointState>),
    /// Give up the link to an endpoint that is gone.
    Disconnect {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Close a link whose agent is silent; what runs over it is lost.
    DropLink {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Open the event stream of an agent anew: an event was missed.
    Resync {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Tell an agent what the configuration says about it.
    Notify {
        /// Id of the endpoint.
        endpoint_id: String,
        /// What it says.
        notice: ConfigNotice,
    },
    /// Give an order.
    Order {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The order.
        order: StampedOrder,
    },
    /// Fetch the configuration from a peer that has a newer one.
    PullConfig {
        /// Where the peer answers.
        peer: SocketAddr,
    },
    /// Ask a store box what it holds.
    ListStore {
        /// Name of the box.
        store: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Have pieces dropped from a store box, by an agent that tells everybody.
    DropPieces {
        /// Id of the endpoint whose agent does it.
        endpoint_id: String,
        /// Name of the store box.
        store: String,
        /// Where it listens.
        address: SocketAddr,
        /// The pieces.
        pieces: Vec<StoredPiece>,
    },
    /// Read lease rows, all in one read.
    ReadLeases {
        /// Shards of the leases.
        shards: Vec<String>,
    },
    /// Replace a lease row.
    WriteLease {
        /// Shard of the lease.
        shard: String,
        /// Table version that must still be there.
        version: u64,
        /// The new row.
        row: LeaseRow,
    },
    /// Log a placement decision.
    Log(PlacementLine),
}

/// One placement decision, for the log and for `explain`.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementLine {
    /// What was decided.
    pub decision: PlacementKind,
    /// What it is about.
    pub subject: String,
    /// Why.
    pub reason: String,
    /// Configuration revision in force.
    pub revision: u64,
}

/// Kinds of placement decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// An endpoint was taken in.
    EndpointJoined,
    /// An endpoint was taken out.
    EndpointLost,
    /// An endpoint gets no requests for a while.
    EndpointEjected,
    /// An engine is to load a version.
    LoadOrdered,
    /// A shard's lease was taken.
    LeaseTaken,
    /// A shard's lease was lost.
    LeaseLost,
    /// A configuration came into force.
    ConfigInForce,
    /// A store box was taken in or its content listed anew.
    StoreListed,
    /// A store box was taken out.
    StoreLost,
    /// Pieces are dropped from a full store box.
    PiecesEvicted,
}

impl PlacementKind {
    /// The word in log lines.
    pub const fn word(self) -> &'static str {
        match self {
            PlacementKind::EndpointJoined => "endpoint-joined",
            PlacementKind::EndpointLost => "endpoint-lost",
            PlacementKind::EndpointEjected => "endpoint-ejected",
            PlacementKind::LoadOrdered => "load-ordered",
            PlacementKind::LeaseTaken => "lease-taken",
            PlacementKind::LeaseLost => "lease-lost",
            PlacementKind::ConfigInForce => "config-in-force",
            PlacementKind::StoreListed => "store-listed",
            PlacementKind::StoreLost => "store-lost",
            PlacementKind::PiecesEvicted => "pieces-evicted",
        }
    }
}
