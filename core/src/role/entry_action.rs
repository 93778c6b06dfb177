use {
    super::{ConfigNotice, StampedOrder, StoredPiece},
    crate::{
        lease::LeaseRow,
        place::ReuseModel,
        route::{EndpointState, RouteTable},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// What the host of an [`EntryCore`](super::EntryCore) has to execute.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Publish a new view to the traffic threads.
    Publish {
        /// Routing table.
        table: Arc<RouteTable>,
        /// Learned reuse of prompts.
        reuse_model: Arc<ReuseModel>,
        /// Number of live entry processes, including this one.
        entries: u32,
    },
    /// Open a link to an agent, or to its new incarnation.
    Connect(Arc<EndpointState>),
    /// Close the link to an endpoint that was removed.
    Disconnect {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Close and reopen a hung link; requests running over it are lost.
    DropLink {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Reopen the event stream of an agent after a sequence gap.
    Resync {
        /// Id of the endpoint.
        endpoint_id: String,
    },
    /// Send an agent the configuration of its endpoint.
    Notify {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The configuration.
        notice: ConfigNotice,
    },
    /// Send an order to an agent.
    Order {
        /// Id of the endpoint.
        endpoint_id: String,
        /// The order.
        order: StampedOrder,
    },
    /// Fetch the configuration from a peer that has a higher revision.
    PullConfig {
        /// Address of the peer's HTTP server.
        peer: SocketAddr,
    },
    /// List the pieces on a store box.
    ListStore {
        /// Name of the store box.
        store: String,
        /// Address of the store box.
        address: SocketAddr,
    },
    /// Delete pieces from a store box through an agent, which publishes the deletion.
    DropPieces {
        /// Id of the endpoint whose agent deletes them.
        endpoint_id: String,
        /// Name of the store box.
        store: String,
        /// Address of the store box.
        address: SocketAddr,
        /// The pieces to delete.
        pieces: Vec<StoredPiece>,
    },
    /// Read several lease rows in one request.
    ReadLeases {
        /// Shards of the leases.
        shards: Vec<String>,
    },
    /// Replace a lease row by compare-and-swap.
    WriteLease {
        /// Shard of the lease.
        shard: String,
        /// Table version that the row must still have.
        version: u64,
        /// The new row.
        row: LeaseRow,
    },
    /// Log a placement decision.
    Log(PlacementLine),
}

/// Log line of a placement decision.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementLine {
    /// Kind of decision.
    pub decision: PlacementKind,
    /// Id of the endpoint, shard, store box or revision concerned.
    pub subject: String,
    /// Reason in plain text.
    pub reason: String,
    /// Configuration revision in force.
    pub revision: u64,
}

/// Kind of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// An endpoint was added.
    EndpointJoined,
    /// An endpoint was removed.
    EndpointLost,
    /// An endpoint was ejected after failures and receives no requests for a while.
    EndpointEjected,
    /// An engine was ordered to load a weight version.
    LoadOrdered,
    /// The lease of a shard was acquired.
    LeaseTaken,
    /// The lease of a shard was lost.
    LeaseLost,
    /// A new configuration took effect.
    ConfigInForce,
    /// A store box was added or listed again.
    StoreListed,
    /// A store box was removed.
    StoreLost,
    /// Pieces are evicted from a full store box.
    PiecesEvicted,
}

impl PlacementKind {
    /// Returns the name used in log lines.
    pub const fn as_str(self) -> &'static str {
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
