use {
    super::{EndpointLink, KeyIndex},
    pitchhitch_core::{
        place::ReuseModel,
        route::{EndpointKey, InFlightLoad, RouteTable},
    },
    slotmap::SecondaryMap,
    std::sync::Arc,
};

/// All that a request is decided on; replaced as a whole by the control thread.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// For routing.
    pub table: Arc<RouteTable>,
    /// What is known of returns.
    pub reuse_model: Arc<ReuseModel>,
    /// Links by endpoint.
    pub links: Arc<SecondaryMap<EndpointKey, Arc<EndpointLink>>>,
    /// Keys of organisations.
    pub keys: Arc<KeyIndex>,
    /// Entry processes that share the load.
    pub entry_count: u32,
    /// Whether new requests should come here.
    pub ready: bool,
}

impl TrafficView {
    /// What this process has under way at an endpoint.
    pub fn in_flight(
        &self,
        endpoint: EndpointKey,
    ) -> InFlightLoad {
        self.links
            .get(endpoint)
            .map_or(InFlightLoad::default(), |l| l.in_flight())
    }

    /// This process's part of limits that hold for the whole deployment.
    pub fn limit_share(&self) -> f64 {
        1.0 / f64::from(self.entry_count.max(1))
    }
}
