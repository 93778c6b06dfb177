use {
    super::{AdmissionRequest, PriorityShares},
    crate::{
        serving::{EndpointChoice, EnginePool},
        time::Micros,
    },
};

/// Priorities are 0 to 9; less urgent ones count as 9.
const PRIORITIES: usize = 10;
/// Kinds of [`EnginePool`].
const POOLS: usize = 3;
/// Time constant of the arrival rates, in seconds. Bursts last some seconds; in a shorter time a
/// front with few prompts per second sees none of a priority.
const RATE_SECONDS: f64 = 2.0;
/// Weight of one prompt in the mean time for which a priority holds memory.
const HOLD_SMOOTHING: f64 = 0.05;
/// Longest time ahead for which memory is left free, in milliseconds. Later prompts get what ends
/// in the meantime.
const MAX_AHEAD_MS: f64 = 1_000.0;
/// Maximum fraction of an engine's memory that is left to more urgent prompts.
const MAX_RESERVED_FRACTION: f64 = 0.3;
/// Fraction of the prompts of a priority above which no more are refused for more urgent ones: it
/// keeps six tenths of what memory and queues admit, above the required half.
const MAX_REFUSED_FRACTION: f64 = 0.35;
/// Weight of one prompt in that fraction.
const REFUSED_SMOOTHING: f64 = 0.05;

/// Memory that prompts of each priority are about to need, learned from their arrivals here.
///
/// Prompts are counted by the pool of the engine chosen for them: where some engines are reserved
/// for short prompts, others have to leave them little room.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    /// By pool and priority.
    demands: [[PriorityDemand; PRIORITIES]; POOLS],
    /// Moving average of the fraction of prompts refused for more urgent ones, by priority.
    refused: [f64; PRIORITIES],
}

/// Arrivals of prompts of one priority in one pool.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityDemand {
    /// Sum of the tokens that arrived, each decayed by its age.
    tokens: f64,
    /// Mean time for which such prompts hold their memory, in milliseconds.
    hold_ms: f64,
    updated_at: Micros,
}

impl PriorityDemand {
    fn decayed_tokens(
        &self,
        now: Micros,
    ) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.tokens * (-age / RATE_SECONDS).exp()
    }

    /// Tokens that arrive within the time for which the prompts hold their memory.
    fn expected_tokens(
        &self,
        now: Micros,
    ) -> f64 {
        let ahead_seconds = self.hold_ms.min(MAX_AHEAD_MS) / 1e3;
        self.decayed_tokens(now) / RATE_SECONDS * ahead_seconds
    }
}

impl UrgentDemand {
    /// Records a prompt that arrived: its size, and how long prompts like it hold their memory, in
    /// milliseconds.
    pub fn record(
        &mut self,
        request: &AdmissionRequest<'_>,
        pool: EnginePool,
        tokens: f64,
        hold_ms: f64,
    ) {
        let now = request.scope.now;
        let priority = priority_index(request.priority);
        let demand = &mut self.demands[pool_index(pool)][priority];
        let is_first = demand.tokens <= 0.0;
        demand.tokens = demand.decayed_tokens(now) + tokens;
        demand.updated_at = now;
        match is_first {
            true => demand.hold_ms = hold_ms,
            false => demand.hold_ms += HOLD_SMOOTHING * (hold_ms - demand.hold_ms),
        }
    }

    /// Memory of the chosen engine that the prompt must leave to more urgent ones, in tokens.
    pub fn reserved_tokens(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
        shares: &PriorityShares,
    ) -> f64 {
        let priority = priority_index(request.priority);
        if self.refused[priority] > MAX_REFUSED_FRACTION || !shares.is_in_use(priority as u8) {
            return 0.0;
        }
        let scope = &request.scope;
        let demands = self.demands[pool_index(choice.pool)][..priority].iter();
        let in_use = demands
            .enumerate()
            .filter(|(urgent, _)| shares.is_in_use(*urgent as u8));
        let arriving: f64 = in_use
            .map(|(_, demand)| demand.expected_tokens(scope.now))
            .sum();
        let expected = arriving * f64::from(scope.fronts.max(1)) / f64::from(scope.engines.max(1));
        expected.min(choice.total_tokens as f64 * MAX_RESERVED_FRACTION)
    }

    /// Records whether a prompt for which there was memory was refused for more urgent ones.
    pub fn record_decision(
        &mut self,
        priority: u8,
        is_refused: bool,
    ) {
        let refused = &mut self.refused[priority_index(priority)];
        let sample = if is_refused { 1.0 } else { 0.0 };
        *refused += REFUSED_SMOOTHING * (sample - *refused);
    }
}

fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

fn pool_index(pool: EnginePool) -> usize {
    match pool {
        EnginePool::Shared => 0,
        EnginePool::Reserved => 1,
        EnginePool::Open => 2,
    }
}
