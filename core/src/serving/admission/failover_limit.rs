use {crate::time::Micros, std::collections::VecDeque};

/// Time within which failovers count as simultaneous: boxes find out about an endpoint within a second
/// of each other.
const FAILOVER_WINDOW: Micros = Micros::from_secs(1);

/// Fraction of the time until the caller leaves in which the request is expected to begin. Engines are
/// slower than their reports say while the requests of others are on their way to them.
const MAX_START_FRACTION: f64 = 0.5;

/// A request that has left an endpoint which did not respond, and the endpoint that would receive it.
#[derive(Debug, Clone, Copy)]
pub struct FailoverRequest {
    /// Number of boxes that share the endpoints.
    pub boxes: u32,
    /// Number of endpoints among which such requests are spread.
    pub endpoints: u32,
    /// Memory that the request takes, in tokens.
    pub tokens: u64,
    /// Free memory of the endpoint, in tokens, if known.
    pub free_tokens: Option<u64>,
    /// Expected time until the endpoint begins to prefill the request, in milliseconds.
    pub queue_ms: f64,
    /// Expected prefill time of the request, in milliseconds.
    pub prefill_ms: f64,
    /// Time until the caller is expected to leave.
    pub time_left: Micros,
}

/// Limits the requests that this box sends to other endpoints at the same moment.
///
/// All boxes find out about endpoints that stop together, and none sees what the others send: each
/// assumes that the others send as much as it does. Without this, the engines that were left
/// received so many prompts at once that most callers left before any of them began.
#[derive(Debug, Clone, Default)]
pub struct FailoverLimit {
    admitted: VecDeque<Micros>,
}

impl FailoverLimit {
    /// Whether the request may be sent; counts it if so.
    pub fn try_admit(
        &mut self,
        request: &FailoverRequest,
        now: Micros,
    ) -> bool {
        while let Some(at) = self.admitted.front() {
            if now.since(*at) < FAILOVER_WINDOW {
                break;
            }
            self.admitted.pop_front();
        }
        let own = self.admitted.len() as f64 + 1.0;
        let per_endpoint = own * f64::from(request.boxes) / f64::from(request.endpoints.max(1));
        let per_endpoint = per_endpoint.max(1.0);
        let start_ms = request.queue_ms + per_endpoint * request.prefill_ms;
        let time_left_ms = request.time_left.as_millis() as f64;
        let has_time = start_ms <= time_left_ms * MAX_START_FRACTION;
        let needed = per_endpoint * request.tokens as f64;
        let has_memory = request.free_tokens.is_none_or(|free| needed <= free as f64);
        let is_admitted = has_time && has_memory;
        if is_admitted {
            self.admitted.push_back(now);
        }
        is_admitted
    }
}
