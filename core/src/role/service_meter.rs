use crate::{route::DEFAULT_TOKEN_COST, time::Micros};

/// Part of a new observation in the running averages.
const SMOOTHING: f32 = 0.1;
/// Tokens below which a prompt says too little about the cost of one token.
const MIN_TOKENS: u32 = 64;

/// Learns what an endpoint's work takes.
#[derive(Debug, Clone, Copy)]
pub struct ServiceMeter {
    token_cost: f32,
    service_time: f32,
}

impl Default for ServiceMeter {
    fn default() -> Self {
        ServiceMeter {
            token_cost: DEFAULT_TOKEN_COST,
            service_time: 0.0,
        }
    }
}

impl ServiceMeter {
    /// Microseconds for one prompt token.
    pub fn token_cost(&self) -> f32 {
        self.token_cost
    }

    /// Microseconds for one request from start to end.
    pub fn service_time(&self) -> f32 {
        self.service_time
    }

    /// Notes that `tokens` prompt tokens took `span`, while nothing else was computed.
    pub fn saw_prefill(&mut self, tokens: u32, span: Micros) {
        if tokens < MIN_TOKENS {
            return;
        }
        let cost = span.0 as f32 / tokens as f32;
        self.token_cost += SMOOTHING * (cost - self.token_cost);
    }

    /// Notes that a request took `span` from start to end.
    pub fn saw_request(&mut self, span: Micros) {
        let span = span.0 as f32;
        if self.service_time == 0.0 {
            self.service_time = span;
        }
        self.service_time += SMOOTHING * (span - self.service_time);
    }
}
