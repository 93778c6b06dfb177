use {
    crate::front::{FrontState, RequestHandler, VersionScope},
    pitchhitch_core::{
        serving::{
            pick_endpoint, AllowedRegions, CacheNamespace, EndpointChoice, EndpointEntry,
            EngineConfig, LatencyEstimator, PartAvailability, PartLocation, PickRequest, PoolScope,
            PromptSize, ServingMechanism, SoftwareTag, TrialKind, TrialRequest,
            VersionAvailability, WeightBounds,
        },
        time::Micros,
    },
};

/// The least urgent priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;
impl RequestHandler<'_> {
    /// Namespace of the parts that the request may use at an engine with this version. It follows the
    /// configuration in force, not the one with which the request began: parts of an organisation that
    /// has become isolated meanwhile must not be read.
    pub(crate) fn cache_namespace(
        &self,
        state: &mut FrontState,
        version: u64,
    ) -> CacheNamespace {
        let organisation = self
            .organisation()
            .map(|organisation| organisation.name.as_str());
        let prompt = self.info.prompt.as_ref();
        let model = prompt.map_or("", |prompt| prompt.model.as_str());
        state.sharing_groups.namespace(model, version, organisation)
    }

    /// Priority of the request: that of the organisation takes precedence over that of the route.
    pub(crate) fn priority(&self) -> u8 {
        let organisation = self.organisation();
        let priority = organisation.and_then(|organisation| organisation.priority);
        priority
            .unwrap_or(self.route().priority)
            .min(LOWEST_PRIORITY)
    }

    /// Size class of the prompt; short if the request is none.
    pub(crate) fn prompt_size(&self) -> PromptSize {
        let prompt = self.info.prompt.as_ref();
        prompt.map_or(PromptSize::Short, |prompt| {
            PromptSize::of(u64::from(prompt.tokens_in), self.engine_capacity())
        })
    }

    /// Configured memory of an engine of the service, in tokens; 0 if unknown.
    fn engine_capacity(&self) -> u64 {
        self.engine_config()
            .map_or(0, |config| config.capacity_tokens)
    }

    /// Estimates of how fast engines process prompts of this size.
    pub(crate) fn estimator<'a>(
        &self,
        state: &'a FrontState,
    ) -> &'a LatencyEstimator {
        let has_pools = state.prompt_pools.has_pools(&self.service);
        state.latency_estimators.get(self.prompt_size(), has_pools)
    }

    /// Records an observation of this prompt in the estimators that learn from it.
    pub(crate) fn record_latency(
        &self,
        state: &mut FrontState,
        observe: impl Fn(&mut LatencyEstimator),
    ) {
        let has_pools = state.prompt_pools.has_pools(&self.service);
        let size = self.prompt_size();
        state.latency_estimators.record(size, has_pools, observe);
    }

    pub(crate) fn engine_config(&self) -> Option<&EngineConfig> {
        self.config.services.get(&self.service)?.engine.as_ref()
    }

    /// Chooses an endpoint whose software version the request may go to.
    pub(crate) fn pick(&mut self) -> Option<EndpointChoice> {
        let now = self.front.now();
        self.is_comparison = false;
        if self.origin.is_some() {
            return self.pick_in(None);
        }
        let scopes = self.version_scopes(&self.front.state(), now);
        let Some((scopes, is_comparison)) = scopes else {
            return self.pick_in(None);
        };
        for (index, scope) in scopes.iter().enumerate() {
            if let Some(choice) = self.pick_in(Some(scope)) {
                self.is_comparison = is_comparison && index == 0;
                return Some(choice);
            }
        }
        None
    }

    /// Chooses an endpoint of the scope. While the retry budget is used up, a request that an endpoint
    /// refuses cannot be sent to another one: those that have refused and not served since are chosen
    /// only where there is no other, or after the window of the budget.
    fn pick_in(
        &self,
        scope: Option<&VersionScope>,
    ) -> Option<EndpointChoice> {
        let retry_window = self.front.settings.retry_limit.window;
        let is_proven = |entry: &EndpointEntry, now: Micros| {
            let unproven_for = entry.rest.unproven_for(now);
            unproven_for.is_none_or(|time| time >= retry_window)
        };
        let choose = |may_probe: bool| {
            self.pick_among(scope, &|entry, now| may_probe || is_proven(entry, now))
        };
        match self.has_retry_budget() {
            true => choose(true),
            false => choose(false).or_else(|| choose(true)),
        }
    }

    fn pick_among(
        &self,
        scope: Option<&VersionScope>,
        is_candidate: &dyn Fn(&EndpointEntry, Micros) -> bool,
    ) -> Option<EndpointChoice> {
        let front = self.front;
        let mut guard = front.state();
        let state = &mut *guard;
        let now = front.now();
        let availability = self.version_availability(state, now);
        let disabled = front.settings.disabled_mechanisms;
        if self.info.prompt.is_some() && !disabled.contains(ServingMechanism::PromptPools) {
            self.update_pools(state, now);
        }
        self.update_speeds(state, now);
        let has_slow_start = self.has_slow_start();
        let trial = self.trial.as_ref();
        let trial = trial.filter(|trial| trial.kind != TrialKind::Single);
        let excluded = trial.map(|trial| state.trials.full_endpoints(trial.kind, now));
        let excluded = excluded.unwrap_or_default();
        let is_exclusive = trial.is_some_and(|trial| trial.kind == TrialKind::Exclusive);
        let trial = trial.map(|trial| TrialRequest {
            suspect_hash: trial.main_suspect.selection_hash(),
            is_exclusive,
            excluded: &excluded,
            // A request that crashed two endpoints is not sent to the last one.
            min_endpoints: if is_exclusive { 2 } else { 1 },
        });
        let request = PickRequest {
            service: &self.service,
            domain: &front.settings.failure_domain,
            prompt: self.info.prompt.as_ref(),
            priority: self.priority(),
            tried: &self.tried,
            trial,
            is_eligible: &|entry| {
                state.is_available(entry, has_slow_start, now)
                    && is_candidate(entry, now)
                    && self.is_region_allowed(&entry.domain)
                    && scope.is_none_or(|scope| scope.admits(entry))
                    && self.may_begin_on(state, entry)
                    && self
                        .origin
                        .is_none_or(|origin| SoftwareTag::known(entry) == Some(origin))
            },
            is_connected: &|key| state.pool.has_open(key, now),
            size: self.prompt_size(),
            target_latency: self.route().target_latency,
            pools: &state.prompt_pools,
            estimator: self.estimator(state),
            weights: self.weight_bounds(state, now),
            disabled,
            now,
        };
        pick_endpoint(&state.registry, &request, &availability)
    }

    /// Updates which engines are reserved for short prompts, if that is due.
    fn update_pools(
        &self,
        state: &mut FrontState,
        now: Micros,
    ) {
        let evacuations = &state.evacuations;
        let scope = PoolScope {
            service: &self.service,
            capacity_tokens: self.engine_capacity(),
            is_usable: &|entry| !evacuations.contains(&entry.domain),
        };
        let change = state.prompt_pools.update(&state.registry, &scope, now);
        if let Some(change) = change {
            log::info!(
                event = "pools",
                service = self.service.as_str(),
                demand = change.demand,
                engines = change.engines,
                reserved = change.reserved,
                previous = change.previous;
                ""
            );
        }
    }

    /// Updates the measured speeds of the service's endpoints.
    fn update_speeds(
        &self,
        state: &mut FrontState,
        now: Micros,
    ) {
        let disabled = self.front.settings.disabled_mechanisms;
        if disabled.contains(ServingMechanism::EngineRates) {
            return;
        }
        let registry = &mut state.registry;
        if self.info.prompt.is_none() {
            state.plain_costs.update(registry, &self.service, now);
            return;
        }
        for change in state.engine_rates.update(registry, &self.service, now) {
            let label = if change.is_slow { "slow" } else { "usual" };
            self.front.metrics.increment("engine_rates", label);
            log::info!(
                event = "engine-rate",
                endpoint = change.id.as_str(),
                slow = change.is_slow,
                rate = format!("{:.2}", change.rate).as_str(),
                pace_us = change.pace_us,
                median_us = change.median_us;
                ""
            );
        }
    }

    /// Whether endpoints of the service receive fewer requests right after they start.
    pub(crate) fn has_slow_start(&self) -> bool {
        self.config.slow_start(&self.service).is_some()
    }

    /// Whether the request may run, and its state may be stored, in a failure domain.
    pub(crate) fn is_region_allowed(
        &self,
        domain: &str,
    ) -> bool {
        let organisation = self.organisation();
        let regions = AllowedRegions {
            route: &self.route().allowed_regions,
            organisation: organisation.map_or(&[], |organisation| &organisation.allowed_regions),
        };
        regions.is_unrestricted() || regions.allows(self.front.settings.region(domain))
    }

    pub(crate) fn weight_bounds(
        &self,
        state: &FrontState,
        now: Micros,
    ) -> WeightBounds {
        let limit = self.front.settings.weights_limit;
        let prompt = self.info.prompt.as_ref();
        prompt.map_or_else(WeightBounds::default, |prompt| {
            state.planner.bounds(&prompt.model, limit, now)
        })
    }

    /// Where the parts of the prompt are cached, for each version of the weights that some engine
    /// has.
    pub(crate) fn version_availability(
        &self,
        state: &mut FrontState,
        now: Micros,
    ) -> Vec<VersionAvailability> {
        let (Some(prompt), Some(engine_config)) = (&self.info.prompt, self.engine_config()) else {
            return Vec::new();
        };
        let versions = state
            .registry
            .iter()
            .filter_map(|(_, e)| e.weights.version(&prompt.model));
        let mut versions: Vec<u64> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        let mut availability = Vec::new();
        for version in versions {
            let salt = self.cache_namespace(state, version).salt();
            let namespace = state.namespace_tag(&salt);
            let parts = state.kv_store_directory.locate_parts(
                &state.registry,
                engine_config,
                namespace,
                &prompt.parts,
                now,
            );
            availability.push(VersionAvailability {
                version,
                namespace,
                parts: self.retain_fetchable_sources(state, version, parts, now),
            });
        }
        availability
    }

    /// Removes from the sources of each part the KV stores that may already be freeing it.
    pub(crate) fn retain_fetchable_sources(
        &self,
        state: &FrontState,
        version: u64,
        mut parts: Vec<PartAvailability>,
        now: Micros,
    ) -> Vec<PartAvailability> {
        let model = self
            .info
            .prompt
            .as_ref()
            .map_or("", |prompt| prompt.model.as_str());
        let proven_at = state.key_freshness.proven_at();
        for availability in &mut parts {
            let id = availability.part.id;
            if !state.planner.may_fetch(model, version, id, proven_at, now) {
                availability
                    .sources
                    .retain(|source| !matches!(source.location, PartLocation::Store(_)));
            }
        }
        parts
    }
}
