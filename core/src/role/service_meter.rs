use crate::{route::DEFAULT_TOKEN_COST, time::Micros};

/// Part of a new observation in the running average of whole requests.
const SMOOTHING: f32 = 0.1;
/// What is left of older prompts with each new one.
const PREFILL_DECAY: f32 = 0.9;
/// Tokens below which a prompt says too little about the cost of one token.
const MIN_PREFILL_TOKENS: u32 = 256;

/// Learns what an endpoint's work takes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceMeter {
    prefill_tokens: f32,
    prefill_us: f32,
    service_time: f32,
}

impl ServiceMeter {
    /// Microseconds for one prompt token.
    pub fn token_cost(&self) -> f32 {
        if self.prefill_tokens == 0.0 {
            return DEFAULT_TOKEN_COST;
        }
        self.prefill_us / self.prefill_tokens
    }

    /// Microseconds for one request from start to end.
    pub fn service_time(&self) -> f32 {
        self.service_time
    }

    /// Notes that `tokens` prompt tokens took `span`, while nothing else was computed.
    ///
    /// Sums are kept rather than an average of quotients, so that long prompts
    /// count for more than short ones.
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

    /// Notes that a request took `span` from start to end.
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
