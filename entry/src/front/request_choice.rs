use {
    super::{FrontState, RequestRun, USUAL_PATIENCE},
    pitchhitch_core::{
        serving::{
            pick_endpoint, unit_fraction, AdmissionDecision, AdmissionRequest, AllowedRegions,
            CacheNamespace, EndpointChoice, EndpointEntry, EndpointStatus, EngineGroup,
            PartAvailability, PartLocation, PickRequest, TrialRequest, VersionAvailability,
            WeightBounds,
        },
        time::Micros,
    },
};

/// The least urgent rank that engines know.
const LOWEST_RANK: u8 = 9;
/// When callers come back that no endpoint bears yet, after the first one may be sent to: they are
/// spread over a while.
const SLOW_START_BACK: Micros = Micros::from_millis(50);
const SLOW_START_SPREAD: Micros = Micros::from_millis(600);

impl RequestRun<'_> {
    pub(super) fn wall(
        &self,
        version: u64,
    ) -> CacheNamespace {
        let organisation = self.organisation();
        let organisation = organisation.filter(|organisation| organisation.is_isolated);
        CacheNamespace {
            version,
            model: self
                .ask
                .prompt
                .as_ref()
                .map_or_else(String::new, |p| p.model.clone()),
            organisation: organisation.map(|organisation| organisation.name.clone()),
        }
    }

    /// Rank of the request: the organisation's goes before the route's.
    pub(super) fn rank(&self) -> u8 {
        let organisation = self.organisation();
        let rank = organisation.and_then(|organisation| organisation.priority);
        rank.unwrap_or(self.route().priority).min(LOWEST_RANK)
    }

    /// Decides whether a prompt goes to the endpoint that is best for it. The next
    /// best is not asked: it would read what this one keeps, and fall behind as well.
    pub(super) fn judge_admission(
        &self,
        choice: &EndpointChoice,
    ) -> AdmissionDecision {
        let Some(prompt) = self.ask.prompt.as_ref().filter(|_| self.is_weighed()) else {
            return AdmissionDecision::Admitted;
        };
        let mut guard = self.front.state();
        let state = &mut *guard;
        let ask = self.admission_ask();
        let admission = &mut state.admission;
        admission.record(&ask, prompt.tokens_in, choice.prefill_tokens);
        admission.decide(&ask, &state.latency_estimator, choice)
    }

    /// Whether it may be refused for load: what was sent has its place, and a suspect runs
    /// where it has to.
    fn is_weighed(&self) -> bool {
        self.sends == 0 && self.trial.is_none()
    }

    /// When a caller that was refused for load should come back.
    pub(super) fn come_back(
        &self,
        choice: &EndpointChoice,
    ) -> Micros {
        let state = self.front.state();
        let spread = unit_fraction(self.spread);
        state.admission.retry_after(
            &self.admission_ask(),
            &state.latency_estimator,
            choice,
            spread,
        )
    }

    fn admission_ask(&self) -> AdmissionRequest<'_> {
        let route = self.route();
        AdmissionRequest {
            route: &route.name,
            priority: self.rank(),
            target_latency: route.target_latency,
            time_left: self.ask.time_left.unwrap_or(USUAL_PATIENCE),
        }
    }

    pub(super) fn group(&self) -> Option<&EngineGroup> {
        self.config.services.get(&self.service)?.engine.as_ref()
    }

    pub(super) fn pick(&mut self) -> Option<EndpointChoice> {
        let front = self.front;
        let mut guard = front.state();
        let state = &mut *guard;
        let now = front.now();
        let outlooks = self.outlooks(state, now);
        let starts_slowly = self.starts_slowly();
        let is_alone = self.trial.is_some_and(|crashes| crashes > 1);
        let barred = state.trials.full_endpoints(is_alone, now);
        let trial = self
            .trial
            .and(self.known_as)
            .map(|fingerprint| TrialRequest {
                request_hash: fingerprint.number(),
                is_alone,
                excluded: &barred,
                // What has ended two is not tried on the last one.
                min_endpoints: if is_alone { 2 } else { 1 },
            });
        let ask = PickRequest {
            service: &self.service,
            domain: &front.settings.failure_domain,
            prompt: self.ask.prompt.as_ref(),
            priority: self.rank(),
            tried: &self.tried,
            trial,
            is_eligible: &|entry| {
                state.is_available(entry, starts_slowly, now) && self.may_lie_in(&entry.domain)
            },
            is_connected: &|key| state.pool.has_open(key, now),
            estimator: &state.latency_estimator,
            weights: self.weight_bounds(state, now),
            disabled: front.settings.disabled_mechanisms,
            now,
        };
        pick_endpoint(&state.registry, &ask, &outlooks)
    }

    /// Whether endpoints of its service are limited right after their start.
    fn starts_slowly(&self) -> bool {
        self.config.slow_start(&self.service).is_some()
    }

    /// Whether it may run, and its state may be kept, in a failure domain.
    pub(super) fn may_lie_in(
        &self,
        domain: &str,
    ) -> bool {
        let organisation = self.organisation();
        let homes = AllowedRegions {
            route: &self.route().allowed_regions,
            organisation: organisation.map_or(&[], |organisation| &organisation.allowed_regions),
        };
        homes.is_unrestricted() || homes.allows(self.front.settings.region(domain))
    }

    /// When a caller should come back that only endpoints could serve which have just started;
    /// `None` where there are none.
    pub(super) fn slow_start_back(&self) -> Option<Micros> {
        if !self.starts_slowly() {
            return None;
        }
        let front = self.front;
        let now = front.now();
        let state = front.state();
        let is_waited_for = |entry: &&EndpointEntry| {
            entry.service == self.service
                && entry.status != EndpointStatus::Leaving
                && self.may_lie_in(&entry.domain)
                && state.is_available(entry, false, now)
                && !state.is_available(entry, true, now)
        };
        let entries = state.registry.iter().map(|(_, entry)| entry);
        let waits: Vec<Micros> = entries
            .filter(is_waited_for)
            .map(|entry| entry.slow_start.admits_after(now))
            .collect();
        let spread = (unit_fraction(self.spread) * SLOW_START_SPREAD.0 as f64) as u64;
        let back = *waits.iter().min()? + SLOW_START_BACK + Micros(spread);
        log::info!(
            event = "slow-start",
            request = self.ask.request_id.as_str(),
            service = self.service.as_str(),
            endpoints = waits.len(),
            back_ms = back.as_millis();
            ""
        );
        Some(back)
    }

    fn weight_bounds(
        &self,
        state: &FrontState,
        now: Micros,
    ) -> WeightBounds {
        let limit = self.front.settings.weights_limit;
        let prompt = self.ask.prompt.as_ref();
        prompt.map_or_else(WeightBounds::default, |prompt| {
            state.planner.bounds(&prompt.model, limit, now)
        })
    }

    /// Where the parts of the prompt are kept, for each version that some
    /// engine has.
    pub(super) fn outlooks(
        &self,
        state: &mut FrontState,
        now: Micros,
    ) -> Vec<VersionAvailability> {
        let (Some(prompt), Some(group)) = (&self.ask.prompt, self.group()) else {
            return Vec::new();
        };
        let versions = state
            .registry
            .iter()
            .filter_map(|(_, e)| e.weights.version(&prompt.model));
        let mut versions: Vec<u64> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        let mut outlooks = Vec::new();
        for version in versions {
            let namespace = state.namespace_tag(&self.wall(version).salt());
            let parts = state.store_directory.locate_parts(
                &state.registry,
                group,
                namespace,
                &prompt.parts,
                now,
            );
            outlooks.push(VersionAvailability {
                version,
                namespace,
                parts: self.allowed(state, version, parts, now),
            });
        }
        outlooks
    }

    /// Leaves stores out where they may be freeing the part.
    pub(super) fn allowed(
        &self,
        state: &FrontState,
        version: u64,
        mut parts: Vec<PartAvailability>,
        now: Micros,
    ) -> Vec<PartAvailability> {
        let model = self
            .ask
            .prompt
            .as_ref()
            .map_or("", |prompt| prompt.model.as_str());
        let proven_at = state.key_freshness.proven_at();
        for outlook in &mut parts {
            let id = outlook.part.id;
            if !state.planner.may_fetch(model, version, id, proven_at, now) {
                outlook
                    .sources
                    .retain(|source| !matches!(source.location, PartLocation::Store(_)));
            }
        }
        parts
    }
}
