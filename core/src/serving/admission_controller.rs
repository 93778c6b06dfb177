use {
    super::{
        AdmissionRequest, AdmissionDecision, EndpointChoice, LatencyEstimator, MechanismSet, PriorityShares,
        RouteStats, ServingMechanism,
    },
    crate::time::Micros,
    std::collections::HashMap,
};

/// Part of a prompt's aim within which it must begin by the estimate, the reading
/// of a usual prompt of its route included. Estimates miss by some hundred
/// milliseconds; those that begin late take the time of those that would not.
const MAX_START_FRACTION: f64 = 0.6;
/// The same for a caller that was refused before: it goes before who comes first
/// now, as a second refusal is worth less than a first.
const RETRY_MAX_START_FRACTION: f64 = 1.0;
/// Part of the aim that may always be spent before the reading begins: where the
/// reading alone takes most of the aim, a refusal would not help anybody.
const MIN_QUEUE_FRACTION: f64 = 0.25;
/// Part of an engine's memory that prompts may wait for: while more do, what runs
/// is put back and read again, and nothing is in time.
const MAX_WAITING_FRACTION: f64 = 0.2;
/// Part of what an engine keeps of a prompt already for which no memory must be free:
/// other runs hold some of it, and nothing of it has to be read. Prompts that come
/// back to such an engine are let in before those that would push out what is kept:
/// 0.761 in place of 0.751 of the worth of ten replayed days (9 engines); with all of
/// it 0.761 too, but on 52 engines, short of memory, 0.702 in place of 0.712.
const CACHED_FRACTION: f64 = 0.6;
/// Weight of one large prompt in the part that found no memory.
const SHORTAGE_SMOOTHING: f64 = 0.03;
/// Part of the large prompts that may find no memory before some is kept back:
/// short crowds pass, and filled memory serves them best.
const SHORTAGE_THRESHOLD: f64 = 0.35;
/// Part of the memory that is kept back for each part of the large prompts that
/// finds none beyond that. Where most are refused anyway, engines that are less
/// full answer sooner, keep more parts and serve more: with four times the large
/// prompts, 625 in time in place of 534, and 1,040 thousand tokens read again in
/// place of 2,550 thousand.
const RESERVE_PER_SHORTAGE: f64 = 0.7;
/// Shortest and longest time after which a refused caller is asked back, in
/// milliseconds: the way to another box, and the order of the longest queues.
const MIN_RETRY_AFTER_MS: f64 = 40.0;
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;
/// When refused callers are asked back where that is not worked out.
const FIXED_RETRY_AFTER: Micros = Micros::from_millis(500);

/// Decides which prompts are refused at once, because an engine would begin with
/// them too late: their callers do better to come back.
///
/// The load that it answers: for seconds more prompts come than engines read or
/// have memory for. Each that is let in beyond that makes all others later. Sizes
/// count by route, not by request: a large request of a kind has the same chance
/// as a small one.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    routes: HashMap<String, RouteStats>,
    memory_shortage: f64,
    priorities: PriorityShares,
    disabled: MechanismSet,
}

impl AdmissionController {
    /// A rule that does without some mechanisms.
    pub fn without(disabled: MechanismSet) -> Self {
        AdmissionController {
            disabled,
            ..AdmissionController::default()
        }
    }

    /// Notes a prompt that came: its size and what has to be read of it, in tokens.
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

    /// The part of the large prompts that finds no memory.
    pub fn memory_shortage(&self) -> f64 {
        self.memory_shortage
    }

    /// Decides about a prompt, if `choice` is the best engine for it.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
        choice: &EndpointChoice,
    ) -> AdmissionDecision {
        if self.disabled.contains(ServingMechanism::Admission) {
            return AdmissionDecision::Admitted;
        }
        if self.starts_too_late(request, estimator, choice) || self.has_long_queue(request, choice) {
            return AdmissionDecision::TooLate;
        }
        if self.needs_free_memory(request, estimator) {
            let lacks_memory = self.lacks_memory(request, choice);
            let sample = if lacks_memory { 1.0 } else { 0.0 };
            self.memory_shortage += (sample - self.memory_shortage) * SHORTAGE_SMOOTHING;
            if lacks_memory {
                return AdmissionDecision::NoMemory;
            }
        }
        AdmissionDecision::Admitted
    }

    /// Whether the prompt would begin too late. An engine that has nothing else to
    /// read takes any: what it makes of them shows when the trouble is over.
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

    fn is_retry(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> bool {
        let stats = self.routes.get(request.route);
        let is_retry = stats.is_some_and(|stats| stats.is_retry(request.time_left));
        is_retry && !self.disabled.contains(ServingMechanism::ReturnOrder)
    }

    fn mean_tokens(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> f64 {
        self.routes.get(request.route).map_or(1.0, RouteStats::mean_tokens)
    }

    fn has_long_queue(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let max_waiting_tokens = choice.total_tokens as f64 * MAX_WAITING_FRACTION;
        let has_long_queue = f64::from(choice.waiting) > (max_waiting_tokens / self.mean_tokens(request)).max(1.0);
        has_long_queue && !self.disabled.contains(ServingMechanism::WaitingRule)
    }

    /// Large prompts of the least urgent rank would be put back, or others for
    /// them, where their memory is not free: reading one anew costs as much as it
    /// earns. Smaller ones fit in, or wait for a moment; more urgent ones are let
    /// in first.
    fn needs_free_memory(
        &self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
    ) -> bool {
        self.mean_tokens(request) >= estimator.prompt_tokens() && request.priority >= self.priorities.least_urgent()
    }

    fn lacks_memory(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let cached = match self.disabled.contains(ServingMechanism::KeptMemory) {
            true => 0.0,
            false => f64::from(choice.plan.cached_tokens) * CACHED_FRACTION,
        };
        let needed = (self.mean_tokens(request) - cached).max(0.0) + self.reserved_tokens(request, choice);
        self.free_tokens(choice)
            .is_some_and(|free| needed > free as f64)
    }

    /// Memory that is kept back from the prompt, in tokens.
    fn reserved_tokens(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> f64 {
        if self.is_retry(request) || self.disabled.contains(ServingMechanism::KeptBack) {
            return 0.0;
        }
        let excess = (self.memory_shortage - SHORTAGE_THRESHOLD).max(0.0);
        choice.total_tokens as f64 * RESERVE_PER_SHORTAGE * excess
    }

    /// Memory that is free for prompts, in tokens, where that is known and counts.
    fn free_tokens(
        &self,
        choice: &EndpointChoice,
    ) -> Option<u64> {
        match self.disabled.contains(ServingMechanism::MemoryRule) {
            true => None,
            false => choice.free_tokens,
        }
    }

    /// When a refused caller should come back: once the queue is short enough, or
    /// the memory is free, as far as engines tell. `spread` from 0 to 1 keeps those
    /// that are refused together from coming back together.
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
        let queue_ms = choice.queue_ms - self.max_queue_ms(request, estimator);
        let free = self
            .free_tokens(choice)
            .map_or(f64::MAX, |free| free as f64);
        let missing_tokens = (self.mean_tokens(request) - free).max(0.0);
        let memory_wait_ms = missing_tokens * estimator.ms_per_freed_token(choice.used_tokens);
        let millis = queue_ms.max(memory_wait_ms) * (1.0 + jitter);
        Micros((millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) * 1_000.0) as u64)
    }
}
