use {
    super::{EndpointLink, KeyIndex},
    pitchhitch_core::{
        place::ReuseModel,
        route::{EndpointKey, InFlightLoad, RouteTable},
    },
    slotmap::SecondaryMap,
    std::sync::Arc,
};

/// State on which routing is based; the control thread replaces it atomically.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// Routing table.
    pub table: Arc<RouteTable>,
    /// Model of when prompts are reused.
    pub reuse_model: Arc<ReuseModel>,
    /// Links to agents, by endpoint.
    pub links: Arc<SecondaryMap<EndpointKey, Arc<EndpointLink>>>,
    /// Bearer keys of the organisations.
    pub keys: Arc<KeyIndex>,
    /// Number of entry processes that share the load.
    pub entry_count: u32,
    /// Whether the process is ready for new requests.
    pub ready: bool,
}

impl TrafficView {
    /// Returns the load that this process has in flight on an endpoint.
    pub fn in_flight(
        &self,
        endpoint: EndpointKey,
    ) -> InFlightLoad {
        self.links
            .get(endpoint)
            .map_or(InFlightLoad::default(), |l| l.in_flight())
    }

    /// Returns this process's share of limits that apply to the whole deployment.
    pub fn limit_share(&self) -> f64 {
        1.0 / f64::from(self.entry_count.max(1))
    }
}
