use {
    crate::{engine::EngineShape, fakes::StoreBoxShape},
    pitchhitch_core::{
        conf::{CostWeights, OrganisationLimits},
        route::RoutePolicy,
    },
    std::time::Duration,
};

/// How a small deployment is built.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Its name, and the prefix of its organisations.
    pub name: String,
    /// Failure domains.
    pub failure_domains: Vec<String>,
    /// Organisations.
    pub organisations: usize,
    /// Model and its first version.
    pub model: String,
    /// First version of the model.
    pub version: String,
    /// Model engines.
    pub engines: usize,
    /// Name of the plain service.
    pub service: String,
    /// Path prefix of the plain service.
    pub service_prefix: String,
    /// Path that the plain service answers when it is well.
    pub health_path: String,
    /// Endpoints of the plain service.
    pub services: usize,
    /// Entry processes.
    pub entries: usize,
    /// How endpoints are chosen.
    pub policy: RoutePolicy,
    /// What every organisation weighs.
    pub weights: CostWeights,
    /// Limits of every organisation.
    pub limits: OrganisationLimits,
    /// Time for one prompt token.
    pub prefill_token: Duration,
    /// Time for one answer token.
    pub decode_token: Duration,
    /// Pieces in the cache of an engine.
    pub cache_pieces: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Bytes of kept state for one token.
    pub token_bytes: u64,
    /// The store box.
    pub store: StoreBoxShape,
    /// Milliseconds in which an answer must begin if the caller names none.
    pub default_deadline_ms: u64,
    /// Threads for traffic of an entry process.
    pub entry_threads: usize,
    /// What processes log, as `env_logger` reads it.
    pub log_level: String,
}

impl DeploymentShape {
    /// A deployment that is just large enough for tests.
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

    /// A tiny deployment whose streams last long enough to be disturbed.
    pub fn streaming(name: &str) -> Self {
        DeploymentShape {
            decode_token: Duration::from_millis(5),
            ..DeploymentShape::tiny(name)
        }
    }

    /// Mvinyo at a size that fits one machine.
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

    /// Field Boundary Services at a size that fits one machine.
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

    /// Shape of one engine.
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

    /// Name of an organisation, counted from one.
    pub fn organisation(
        &self,
        number: usize,
    ) -> String {
        format!("{}-{number:02}", self.name)
    }

    /// Bearer key of an organisation.
    pub fn key(
        &self,
        organisation: &str,
    ) -> String {
        format!("key-of-{organisation}")
    }
}

fn domains(city: &str) -> Vec<String> {
    (1..=3).map(|n| format!("{city}-{n}")).collect()
}
