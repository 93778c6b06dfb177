use {
    crate::front::{FrontState, RequestHandler, RequestTrial, DEFAULT_CALLER_TIMEOUT},
    pitchhitch_core::{
        serving::{
            organisation_hash, unit_fraction, AdmissionDecision, AdmissionRequest, AdmissionScope,
            CallerPatience, EndpointChoice, EndpointEntry, EndpointStatus, EnginePool,
            FailoverRequest, TrialKind,
        },
        time::Micros,
    },
};

/// Delay of retries after an endpoint admits requests again, and the range of their random additional
/// delay.
const LIMIT_RETRY_DELAY: Micros = Micros::from_millis(50);
const LIMIT_RETRY_JITTER: Micros = Micros::from_millis(600);

impl RequestHandler<'_> {
    /// Decides whether a prompt may be sent to the best endpoint. There is no fallback to the
    /// second best: it would have to prefill what the best one has cached, and would be overloaded
    /// too.
    pub(crate) fn decide_admission(
        &self,
        choice: &EndpointChoice,
    ) -> AdmissionDecision {
        let Some(prompt) = self.info.prompt.as_ref().filter(|_| self.can_be_refused()) else {
            return AdmissionDecision::Admitted;
        };
        let mut guard = self.front.state();
        let state = &mut *guard;
        let request = self.admission_request(state, choice);
        let admission = &mut state.admission;
        admission.record(&request, prompt.tokens_in, choice.prefill_tokens);
        let has_pools = state.prompt_pools.has_pools(&self.service);
        let size = self.prompt_size();
        let estimator = state.latency_estimators.get(size, has_pools);
        admission.decide(&request, estimator, choice)
    }

    /// Whether the request may be refused because of load. One that was already sent occupies a
    /// slot, and a suspect request runs at the endpoint that its trial selects.
    fn can_be_refused(&self) -> bool {
        let is_selected = |trial: &RequestTrial| trial.kind != TrialKind::Single;
        self.sends == 0 && !self.trial.as_ref().is_some_and(is_selected)
    }

    /// Whether a prompt that has left an endpoint which did not respond may be sent to another one,
    /// and is expected to begin there before its caller leaves.
    pub(crate) fn may_fail_over_to(
        &self,
        choice: &EndpointChoice,
    ) -> bool {
        let Some(prompt) = &self.info.prompt else {
            return true;
        };
        let now = self.front.now();
        let mut guard = self.front.state();
        let state = &mut *guard;
        let token_ms = self.estimator(state).token_ms();
        let request = FailoverRequest {
            boxes: state.sharing_fronts(),
            endpoints: choice.candidates,
            tokens: u64::from(prompt.tokens_in),
            free_tokens: choice.free_tokens,
            queue_ms: choice.queue_ms + choice.plan.fetch_ms,
            prefill_ms: f64::from(choice.prefill_tokens) * token_ms * choice.rate,
            time_left: self.caller_patience().remaining(self.caller_wait(now)),
        };
        state.failover_limit(&self.service).try_admit(&request, now)
    }

    /// How long the callers of the route wait without an event.
    pub(crate) fn caller_patience(&self) -> CallerPatience {
        let route = self.route();
        CallerPatience::for_targets(route.target_latency, route.target_gap)
    }

    /// Time for which the caller has received nothing.
    pub(crate) fn caller_wait(
        &self,
        now: Micros,
    ) -> Micros {
        let since_events = self.progress.written_at.map(|at| at.elapsed());
        since_events.map_or(now.since(self.request.arrived_at), |elapsed| {
            Micros(elapsed.as_micros() as u64)
        })
    }

    /// When a caller that was refused because of load should retry.
    pub(crate) fn retry_after(
        &self,
        choice: &EndpointChoice,
    ) -> Micros {
        let state = self.front.state();
        let jitter = unit_fraction(self.id_hash);
        state.admission.retry_after(
            &self.admission_request(&state, choice),
            self.estimator(&state),
            choice,
            jitter,
        )
    }

    fn admission_request(
        &self,
        state: &FrontState,
        choice: &EndpointChoice,
    ) -> AdmissionRequest<'_> {
        let route = self.route();
        AdmissionRequest {
            route: &route.name,
            priority: self.priority(),
            target_latency: route.target_latency,
            time_left: self.info.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT),
            scope: self.admission_scope(state, choice),
        }
    }

    fn admission_scope(
        &self,
        state: &FrontState,
        choice: &EndpointChoice,
    ) -> AdmissionScope {
        let reserved = state.prompt_pools.reserved_count(&self.service) as u32;
        let engines = match choice.pool {
            EnginePool::Shared => choice.candidates,
            EnginePool::Reserved => reserved.min(choice.candidates),
            EnginePool::Open => choice.candidates.saturating_sub(reserved),
        };
        let organisation = self.organisation();
        AdmissionScope {
            organisation: organisation.map(|organisation| organisation_hash(&organisation.name)),
            fronts: state.fronts,
            engines: engines.max(1),
            now: self.front.now(),
        }
    }

    /// When a caller should retry if only endpoints that admit no request now could serve it, because
    /// of slow start, of the limit that they state or because they asked for rest; `None` if there are
    /// none.
    pub(crate) fn limited_retry_after(&self) -> Option<Micros> {
        let front = self.front;
        let now = front.now();
        let state = front.state();
        let has_slow_start = self.has_slow_start();
        let is_limited = |entry: &&EndpointEntry| {
            entry.service == self.service
                && entry.status != EndpointStatus::Leaving
                && self.is_region_allowed(&entry.domain)
                && !state.evacuations.contains(&entry.domain)
                && !state.is_available(entry, has_slow_start, now)
        };
        let entries = state.registry.iter().map(|(_, entry)| entry);
        let limited: Vec<&EndpointEntry> = entries.filter(is_limited).collect();
        let delays = limited.iter().map(|entry| {
            let slow_start = match has_slow_start {
                true => entry.slow_start.admits_after(now),
                false => Micros::ZERO,
            };
            let limit = entry.stated_limit.admits_after(state.sharing_fronts(), now);
            slow_start.max(limit).max(entry.rest.admits_after(now))
        });
        let jitter = (unit_fraction(self.id_hash) * LIMIT_RETRY_JITTER.0 as f64) as u64;
        let retry_after = delays.min()? + LIMIT_RETRY_DELAY + Micros(jitter);
        let is_stated =
            |entry: &&&EndpointEntry| !entry.stated_limit.admits(state.sharing_fronts(), now);
        log::info!(
            event = "endpoints-limited",
            request = self.info.request_id.as_str(),
            service = self.service.as_str(),
            endpoints = limited.len(),
            stated = limited.iter().filter(is_stated).count(),
            resting = limited.iter().filter(|entry| !entry.rest.admits(now)).count(),
            back_ms = retry_after.as_millis();
            ""
        );
        Some(retry_after)
    }
}
