use {
    crate::{engine::EngineShape, fakes::StoreBoxShape},
    pitchhitch_core::{
        conf::{CostWeights, OrganisationLimits},
        route::RoutePolicy,
    },
    std::time::Duration,
};

/// Size and settings of a small deployment.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Name of the deployment; prefix of its organisations, boxes and endpoints.
    pub name: String,
    /// Failure domains.
    pub failure_domains: Vec<String>,
    /// Number of organisations.
    pub organisations: usize,
    /// Name of the model.
    pub model: String,
    /// First weight version of the model.
    pub version: String,
    /// Number of model engines.
    pub engines: usize,
    /// Name of the plain service.
    pub service: String,
    /// Path prefix of the plain service.
    pub service_prefix: String,
    /// Health check path of the endpoints.
    pub health_path: String,
    /// Number of endpoints of the plain service.
    pub services: usize,
    /// Number of entry processes.
    pub entries: usize,
    /// Routing policy.
    pub policy: RoutePolicy,
    /// Cost weights of every organisation.
    pub weights: CostWeights,
    /// Request limits of every organisation.
    pub limits: OrganisationLimits,
    /// Prefill time of one prompt token.
    pub prefill_token: Duration,
    /// Decode time of one output token.
    pub decode_token: Duration,
    /// Cache capacity of an engine, in pieces.
    pub cache_pieces: usize,
    /// Concurrent requests per engine.
    pub slots: usize,
    /// Bytes of cached state per token.
    pub token_bytes: u64,
    /// The store box.
    pub store: StoreBoxShape,
    /// Deadline for the start of a response if the caller sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Traffic threads of an entry process.
    pub entry_threads: usize,
    /// Log filter of all processes, in the syntax of `env_logger`.
    pub log_level: String,
}

impl DeploymentShape {
    /// The smallest deployment for tests: two of each process.
    pub fn tiny(name: &str) -> Self {
        DeploymentShape {
            name: name.to_string(),
            failure_domains: vec!["domain-1".to_string(), "domain-2".to_string()],
            organisations: 2,
            model: "assistant".to_string(),
            version: "v1".to_string(),
            engines: 2,
            service: "orders".to_string(),
            service_prefix: "/orders".to_string(),
            health_path: "/healthz".to_string(),
            services: 2,
            entries: 2,
            policy: RoutePolicy::Estimate,
            weights: CostWeights::default(),
            limits: OrganisationLimits::default(),
            prefill_token: Duration::from_micros(20),
            decode_token: Duration::from_millis(1),
            cache_pieces: 96,
            slots: 16,
            token_bytes: 128,
            store: StoreBoxShape::default(),
            default_deadline_ms: 30_000,
            entry_threads: 2,
            log_level: "info".to_string(),
        }
    }

    /// A tiny deployment with slow streams, so that faults can occur during them.
    pub fn streaming(name: &str) -> Self {
        DeploymentShape {
            decode_token: Duration::from_millis(5),
            ..DeploymentShape::tiny(name)
        }
    }

    /// Mvinyo, scaled down to one machine.
    pub fn mvinyo(policy: RoutePolicy) -> Self {
        DeploymentShape {
            name: "mvinyo".to_string(),
            failure_domains: domains("nairobi"),
            organisations: 10,
            engines: 9,
            services: 3,
            entries: 3,
            policy,
            weights: CostWeights {
                first_token: 1.0,
                recompute: 2.0,
                link: 2.0,
            },
            prefill_token: Duration::from_micros(15),
            cache_pieces: 64,
            entry_threads: 1,
            ..DeploymentShape::tiny("mvinyo")
        }
    }

    /// Field Boundary Services, scaled down to one machine.
    pub fn field_boundary(policy: RoutePolicy) -> Self {
        DeploymentShape {
            name: "field".to_string(),
            failure_domains: domains("plovdiv"),
            organisations: 10,
            model: "boundary".to_string(),
            service: "deeds".to_string(),
            service_prefix: "/deeds".to_string(),
            engines: 9,
            services: 3,
            entries: 3,
            policy,
            weights: CostWeights {
                first_token: 0.3,
                recompute: 60.0,
                link: 10.0,
            },
            prefill_token: Duration::from_micros(15),
            cache_pieces: 128,
            entry_threads: 1,
            ..DeploymentShape::tiny("field")
        }
    }

    /// Shape of an engine that loads its weights from an address.
    pub fn engine_shape(
        &self,
        weights: std::net::SocketAddr,
    ) -> EngineShape {
        let piece_tokens = u64::from(pitchhitch_core::kv_cache::PIECE_TOKENS);
        EngineShape {
            prefill_token: self.prefill_token,
            decode_token: self.decode_token,
            slots: self.slots,
            cache_pieces: self.cache_pieces,
            piece_bytes: (piece_tokens * self.token_bytes) as usize,
            ..EngineShape::small(&self.model, &self.version, weights)
        }
    }

    /// Name of an organisation; numbers start at 1.
    pub fn organisation_name(
        &self,
        number: usize,
    ) -> String {
        format!("{}-{number:02}", self.name)
    }

    /// Bearer key of an organisation.
    pub fn api_key(
        &self,
        organisation: &str,
    ) -> String {
        format!("key-of-{organisation}")
    }
}

fn domains(city: &str) -> Vec<String> {
    (1..=3).map(|n| format!("{city}-{n}")).collect()
}
