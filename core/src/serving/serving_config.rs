use {
    super::{
        CallerLimits, KvStore, PathIndex, RefusalKind, RequestInfo, ServedRoute, SlowStartRule,
    },
    std::collections::HashMap,
};

/// What a configuration says of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineGroup {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory of one engine, in tokens.
    pub capacity_tokens: u64,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// One service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedService {
    /// Most connections that one endpoint takes from all callers.
    pub max_connections: u32,
    /// Path at which an endpoint says that it is well and not leaving.
    pub health_path: Option<String>,
    /// Set where the endpoints are model engines.
    pub engine: Option<EngineGroup>,
    /// Set where they are slow right after their start.
    pub slow_start: Option<SlowStartRule>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no kept part with anybody.
    pub is_isolated: bool,
    /// Regions in which its requests may run; empty where all may.
    pub allowed_regions: Vec<String>,
}

/// One configuration, whole; requests are decided on one of these throughout.
#[derive(Debug, Clone, Default)]
pub struct ServingConfig {
    /// Version; it only rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<ServedRoute>,
    /// Services by name.
    pub services: HashMap<String, ServedService>,
    /// Stores of kept parts.
    pub stores: Vec<KvStore>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Organisations; empty where no keys are asked for.
    pub organisations: Vec<Organisation>,
    /// Place in `organisations` by key.
    pub keys: HashMap<String, usize>,
    /// Look-up of routes.
    pub paths: PathIndex,
}

/// The route and organisation of a request, as places in one configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedRequest {
    /// Place of the route.
    pub route: usize,
    /// Place of the organisation, where the request has one.
    pub organisation: Option<usize>,
    /// Whether the request was let in by its key.
    pub is_authenticated: bool,
}

impl ServingConfig {
    /// How endpoints of a service bear load right after their start, where they are slow then.
    pub fn slow_start(
        &self,
        service: &str,
    ) -> Option<SlowStartRule> {
        self.services.get(service)?.slow_start
    }

    /// Finds the route and the organisation of a request.
    ///
    /// # Errors
    /// Refused where there is no such route, or no such key.
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
