use {
    crate::serving::{
        CallerLimits, KvStore, PathIndex, RefusalKind, RequestInfo, RouteKey, ServedRoute,
        SlowStartRule,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Configuration of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Maximum number of requests that one engine runs at once.
    pub slots: u32,
    /// KV cache capacity of one engine, in tokens.
    pub capacity_tokens: u64,
    /// KV cache size of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// A service that routes forward to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedService {
    /// Maximum number of connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Path of the health check, which an endpoint passes if it is healthy and not leaving.
    pub health_path: Option<String>,
    /// Engine configuration, if the endpoints are model engines.
    pub engine: Option<EngineConfig>,
    /// Slow start rule, if endpoints are slow after their start.
    pub slow_start: Option<SlowStartRule>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether its cached parts are shared with no other organisation.
    pub is_isolated: bool,
    /// Regions in which its requests may run; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A complete configuration. Each request uses one throughout.
#[derive(Debug, Clone, Default)]
pub struct ServingConfig {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<ServedRoute>,
    /// Services by name.
    pub services: HashMap<String, ServedService>,
    /// Stores for prompt parts.
    pub stores: Vec<KvStore>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Organisations; empty if no keys are required.
    pub organisations: Vec<Organisation>,
    /// Index in `organisations` by key.
    pub keys: HashMap<String, usize>,
    /// Index of the routes.
    pub paths: PathIndex,
    /// Indices in `routes` by key.
    pub route_keys: BTreeMap<RouteKey, usize>,
}

/// Route and organisation of a request, as indices in one configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedRequest {
    /// Index of the route.
    pub route: usize,
    /// Index of the organisation, if any.
    pub organisation: Option<usize>,
    /// Whether the request was accepted by its key.
    pub is_authenticated: bool,
}

impl ServingConfig {
    /// Slow start rule of a service, if its endpoints are slow after their start.
    pub fn slow_start(
        &self,
        service: &str,
    ) -> Option<SlowStartRule> {
        self.services.get(service)?.slow_start
    }

    /// Finds the route and the organisation of a request.
    ///
    /// # Errors
    /// `UnknownRoute` if no route matches, `UnknownKey` if the key is missing or unknown.
    pub fn resolve(
        &self,
        request: &RequestInfo,
    ) -> Result<ResolvedRequest, RefusalKind> {
        let route = self.paths.find(&request.host, &request.path);
        let route = route.ok_or(RefusalKind::UnknownRoute)?;
        let mut resolved = ResolvedRequest {
            route,
            organisation: None,
            is_authenticated: false,
        };
        if self.organisations.is_empty() || self.routes[route].is_public {
            return Ok(resolved);
        }
        let key = request.key.as_ref().and_then(|key| self.keys.get(key));
        resolved.organisation = Some(*key.ok_or(RefusalKind::UnknownKey)?);
        resolved.is_authenticated = true;
        Ok(resolved)
    }
}
