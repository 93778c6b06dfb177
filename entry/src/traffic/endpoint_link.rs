use {
    arc_swap::ArcSwapOption,
    pitchhitch_core::route::InFlightLoad,
    pitchhitch_wire::link::AgentLink,
    std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// The connection to an endpoint's agent, and the load that this process has in flight there.
#[derive(Debug)]
pub struct EndpointLink {
    /// Id of the endpoint.
    pub endpoint_id: String,
    connection: ArcSwapOption<AgentLink>,
    tokens: AtomicU64,
    running: AtomicU32,
    failed: AtomicBool,
}

impl EndpointLink {
    /// Creates a link without a connection.
    pub fn new(endpoint_id: &str) -> Self {
        EndpointLink {
            endpoint_id: endpoint_id.to_string(),
            connection: ArcSwapOption::empty(),
            tokens: AtomicU64::new(0),
            running: AtomicU32::new(0),
            failed: AtomicBool::new(false),
        }
    }

    /// Records that an attempt failed here.
    pub fn mark_failed(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    /// Clears a recorded failure; returns true if there was one.
    pub fn clear_failed(&self) -> bool {
        self.failed.load(Ordering::Relaxed) && self.failed.swap(false, Ordering::Relaxed)
    }

    /// Replaces the connection to the agent; `None` when it is lost.
    pub fn set_connection(
        &self,
        connection: Option<AgentLink>,
    ) {
        self.connection.store(connection.map(std::sync::Arc::new));
    }

    /// Returns the connection to the agent, if it is up.
    pub fn connection(&self) -> Option<std::sync::Arc<AgentLink>> {
        self.connection.load_full()
    }

    /// Returns the load in flight.
    pub fn in_flight(&self) -> InFlightLoad {
        InFlightLoad {
            tokens: self.tokens.load(Ordering::Relaxed),
            running: self.running.load(Ordering::Relaxed),
        }
    }

    /// Records a request that is handed over to the agent, with the number of prompt tokens that
    /// the endpoint is estimated to compute.
    pub fn record_sent(
        &self,
        tokens: u32,
    ) {
        self.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes the prompt tokens of a request from the load: its first token was received, or the
    /// attempt ended without one.
    pub fn record_prefilled(
        &self,
        tokens: u32,
    ) {
        self.tokens.fetch_sub(u64::from(tokens), Ordering::Relaxed);
    }

    /// Records that a request ended.
    pub fn record_ended(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}
