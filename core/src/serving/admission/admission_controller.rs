use {
    crate::serving::{
        AdmissionDecision, AdmissionInputs, AdmissionRequest, EndpointChoice, LatencyEstimator,
        MechanismSet, MemoryShare, OrganisationShares, PriorityShares, RouteStats,
        ServingMechanism, UrgentDemand,
    },
    crate::time::Micros,
    std::collections::HashMap,
};

/// Fraction of the target latency within which the answer to a prompt is expected to start,
/// including the prefill of a typical prompt of its route; otherwise the prompt is refused.
/// Estimates are off by some hundred milliseconds, and prompts that start late delay others.
const MAX_START_FRACTION: f64 = 0.6;
/// The same for a caller that was refused before. It takes precedence over new callers, as refusing
/// it a second time costs more than refusing a new caller once.
const RETRY_MAX_START_FRACTION: f64 = 1.0;
/// Fraction of the target latency that a prompt may always queue before its prefill. Where the
/// prefill alone takes most of the target, a refusal would not help any caller.
const MIN_QUEUE_FRACTION: f64 = 0.25;
/// Fraction of an engine's memory that prompts may wait for. If more wait, running prompts are
/// preempted and prefilled again, and no answer is in time.
const MAX_WAITING_FRACTION: f64 = 0.2;
/// Fraction of the cached tokens of a prompt that reduces the free memory it needs: other running
/// prompts share some of these tokens, and none have to be prefilled. Prompts that return to such
/// an engine are admitted before prompts that would evict its cache. A fraction of 1 would admit
/// too much to engines that are short of memory.
const CACHED_FRACTION: f64 = 0.6;
/// Weight of one large prompt in the moving average of the memory shortage.
const SHORTAGE_SMOOTHING: f64 = 0.03;
/// Memory shortage above which some memory is reserved. Short bursts stay below it; they are served
/// best if memory is filled completely.
pub(super) const SHORTAGE_THRESHOLD: f64 = 0.35;
/// Fraction of the memory that is reserved per unit of memory shortage above the threshold. Where
/// most large prompts are refused anyway, engines with some free memory respond sooner, have more
/// parts cached and serve more.
const RESERVE_PER_SHORTAGE: f64 = 0.7;
/// Bounds of the time after which a refused caller should retry, in milliseconds: the time to reach
/// another box, and the order of magnitude of the longest queues.
const MIN_RETRY_AFTER_MS: f64 = 40.0;
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;
/// Time after which refused callers should retry if it is not computed.
const FIXED_RETRY_AFTER: Micros = Micros::from_millis(500);

/// Refuses prompts that an engine would start too late, so that their callers can retry.
///
/// It handles overloads of some seconds, in which more prompts arrive than engines can prefill or
/// have memory for; each prompt admitted beyond that delays all others. It uses mean sizes by route
/// rather than the size of the request, so that within a route large requests have the same chance
/// as small ones.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    routes: HashMap<String, RouteStats>,
    pub(super) memory_shortage: f64,
    pub(super) priorities: PriorityShares,
    pub(super) urgent_demand: UrgentDemand,
    pub(super) organisations: OrganisationShares,
    /// Share of the organisation at the latest decision; `None` while memory is not short.
    pub(super) share: Option<MemoryShare>,
    pub(super) inputs: AdmissionInputs,
    pub(super) disabled: MechanismSet,
}

impl AdmissionController {
    /// A controller with some mechanisms disabled.
    pub fn without(disabled: MechanismSet) -> Self {
        AdmissionController {
            disabled,
            ..AdmissionController::default()
        }
    }

    /// Records a prompt that arrived: its size and how much of it is to be prefilled, in tokens.
    pub fn record(
        &mut self,
        request: &AdmissionRequest<'_>,
        tokens: u32,
        prefill_tokens: u32,
    ) {
        self.priorities.record(request.priority);
        if !self.routes.contains_key(request.route) {
            self.routes
                .insert(request.route.to_string(), RouteStats::default());
        }
        if let Some(stats) = self.routes.get_mut(request.route) {
            stats.record(tokens, prefill_tokens, request.time_left);
        }
    }

    /// Moving average of the fraction of large prompts that found too little free memory.
    pub fn memory_shortage(&self) -> f64 {
        self.memory_shortage
    }

    /// Decides on a prompt for which `choice` is the best engine.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
        choice: &EndpointChoice,
    ) -> AdmissionDecision {
        if self.disabled.contains(ServingMechanism::Admission) {
            return AdmissionDecision::Admitted;
        }
        self.record_demand(request, estimator, choice);
        if self.starts_too_late(request, estimator, choice) || self.has_long_queue(request, choice)
        {
            return AdmissionDecision::TooLate;
        }
        let needs_memory = self.needs_free_memory(request, estimator);
        let lacks_memory = needs_memory && self.lacks_memory(request, choice);
        let decision = match self.refuses_for_urgent(request, choice, lacks_memory) {
            true => AdmissionDecision::UrgentReserve,
            false if lacks_memory => AdmissionDecision::NoMemory,
            false if needs_memory && self.is_over_share(request) => AdmissionDecision::OverShare,
            false => AdmissionDecision::Admitted,
        };
        if needs_memory {
            self.record_shortage(lacks_memory);
            self.record_share(request, decision);
        }
        decision
    }

    fn record_shortage(
        &mut self,
        lacks_memory: bool,
    ) {
        let sample = if lacks_memory { 1.0 } else { 0.0 };
        self.memory_shortage += (sample - self.memory_shortage) * SHORTAGE_SMOOTHING;
    }

    /// Whether the prompt would start too late. A prompt for an engine with an empty queue never
    /// does, regardless of the estimates: only new prompts can show that the engine has recovered.
    fn starts_too_late(
        &self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
        choice: &EndpointChoice,
    ) -> bool {
        let has_queue = choice.ahead_tokens > 0.0 || choice.waiting > 0;
        has_queue && choice.queue_ms > self.max_queue_ms(request, estimator)
    }

    fn max_queue_ms(
        &self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
    ) -> f64 {
        if self.disabled.contains(ServingMechanism::LateRule) {
            return f64::INFINITY;
        }
        let stats = self.routes.get(request.route);
        let prefill_ms = stats.map_or(0.0, RouteStats::mean_prefill_tokens) * estimator.token_ms();
        let fraction = match self.is_retry(request) {
            true => RETRY_MAX_START_FRACTION,
            false => MAX_START_FRACTION,
        };
        let target_ms = request.target_latency.as_millis() as f64;
        (target_ms * fraction - prefill_ms).max(target_ms * MIN_QUEUE_FRACTION)
    }

    pub(super) fn is_retry(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> bool {
        let stats = self.routes.get(request.route);
        let is_retry = stats.is_some_and(|stats| stats.is_retry(request.time_left));
        is_retry && !self.disabled.contains(ServingMechanism::ReturnOrder)
    }

    pub(super) fn mean_tokens(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> f64 {
        self.routes
            .get(request.route)
            .map_or(1.0, RouteStats::mean_tokens)
    }

    fn has_long_queue(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let max_waiting_tokens = choice.total_tokens as f64 * MAX_WAITING_FRACTION;
        let has_long_queue =
            f64::from(choice.waiting) > (max_waiting_tokens / self.mean_tokens(request)).max(1.0);
        has_long_queue && !self.disabled.contains(ServingMechanism::WaitingRule)
    }

    /// Whether the prompt needs free memory to be admitted. Without it, large prompts of the least
    /// urgent priority would be preempted or cause others to be, and prefilling one again costs as
    /// much as serving it gains. Smaller prompts fit in or wait briefly, and more urgent ones are
    /// admitted first.
    fn needs_free_memory(
        &self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
    ) -> bool {
        self.mean_tokens(request) >= estimator.prompt_tokens()
            && request.priority >= self.priorities.least_urgent()
    }

    fn lacks_memory(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let needed = self.needed_tokens(request, choice) + self.reserved_tokens(request, choice);
        self.free_tokens(choice)
            .is_some_and(|free| needed > free as f64)
    }

    /// Free memory that the prompt itself needs, in tokens.
    pub(super) fn needed_tokens(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> f64 {
        let cached = match self.disabled.contains(ServingMechanism::KeptMemory) {
            true => 0.0,
            false => f64::from(choice.plan.cached_tokens) * CACHED_FRACTION,
        };
        (self.mean_tokens(request) - cached).max(0.0)
    }

    /// Memory that the prompt must leave free, in tokens.
    fn reserved_tokens(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> f64 {
        if self.is_retry(request)
            || self.is_below_share()
            || self.disabled.contains(ServingMechanism::KeptBack)
        {
            return 0.0;
        }
        let excess = (self.memory_shortage - SHORTAGE_THRESHOLD).max(0.0);
        choice.total_tokens as f64 * RESERVE_PER_SHORTAGE * excess
    }

    /// Free memory for prompts, in tokens; `None` if it is unknown or the mechanism is disabled.
    pub(super) fn free_tokens(
        &self,
        choice: &EndpointChoice,
    ) -> Option<u64> {
        match self.disabled.contains(ServingMechanism::MemoryRule) {
            true => None,
            false => choice.free_tokens,
        }
    }

    /// Time after which a refused caller should retry: when the queue is estimated to be short
    /// enough and the memory free. `jitter` from 0 to 1 spreads the retries of callers that were
    /// refused at the same time.
    pub fn retry_after(
        &self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
        choice: &EndpointChoice,
        jitter: f64,
    ) -> Micros {
        if self.disabled.contains(ServingMechanism::ComeBack) {
            return FIXED_RETRY_AFTER;
        }
        let excess_queue_ms = choice.queue_ms - self.max_queue_ms(request, estimator);
        let free = self
            .free_tokens(choice)
            .map_or(f64::MAX, |free| free as f64);
        let needed_tokens = self.mean_tokens(request) + self.urgent_tokens(request, choice);
        let missing_tokens = (needed_tokens - free).max(0.0);
        let memory_wait_ms = missing_tokens * estimator.ms_per_freed_token(choice.used_tokens);
        let wait_ms = excess_queue_ms
            .max(memory_wait_ms)
            .max(self.share_wait_ms());
        let millis = wait_ms * (1.0 + jitter);
        Micros((millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) * 1_000.0) as u64)
    }
}
