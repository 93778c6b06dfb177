use crate::{route::DEFAULT_TOKEN_COST, time::Micros};

/// Weight of a new sample in the moving average of the request duration.
const SMOOTHING: f32 = 0.1;
/// Factor by which older prompts decay with each new one.
const PREFILL_DECAY: f32 = 0.9;
/// Minimum prompt size; shorter prompts do not allow a reliable estimate of the cost per token.
const MIN_PREFILL_TOKENS: u32 = 256;

/// Estimates the cost per prompt token and the request duration of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceMeter {
    prefill_tokens: f32,
    prefill_us: f32,
    service_time: f32,
}

impl ServiceMeter {
    /// Returns the cost of one prompt token, in microseconds.
    pub fn token_cost(&self) -> f32 {
        if self.prefill_tokens == 0.0 {
            return DEFAULT_TOKEN_COST;
        }
        self.prefill_us / self.prefill_tokens
    }

    /// Returns the average duration of a request, in microseconds.
    pub fn service_time(&self) -> f32 {
        self.service_time
    }

    /// Records that `tokens` prompt tokens took `span` while no other prompt was computed.
    ///
    /// The estimate is a quotient of decaying sums, not an average of quotients, so that long
    /// prompts have more weight than short ones.
    pub fn record_prefill(
        &mut self,
        tokens: u32,
        span: Micros,
    ) {
        if tokens < MIN_PREFILL_TOKENS {
            return;
        }
        self.prefill_tokens = PREFILL_DECAY * self.prefill_tokens + tokens as f32;
        self.prefill_us = PREFILL_DECAY * self.prefill_us + span.0 as f32;
    }

    /// Records that a request took `span` from start to end.
    pub fn record_request(
        &mut self,
        span: Micros,
    ) {
        let span = span.0 as f32;
        if self.service_time == 0.0 {
            self.service_time = span;
        }
        self.service_time += SMOOTHING * (span - self.service_time);
    }
}
