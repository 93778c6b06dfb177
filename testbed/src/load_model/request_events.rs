use {
    super::{
        load_sim::millis, AttemptKey, FrontDecision, FrontRequest, LoadSim, RequestKey,
        RequestOutcome, RoutedRequest, SimEvent, WARM_UP_TIME,
    },
    pitchhitch_core::time::Micros,
};

/// Delay after which a caller retries whose front found no engine at all.
const NO_ENGINE_RETRY_DELAY: Micros = Micros::from_millis(500);
/// A caller waits before its retry at most its remaining time divided by this.
const RETRY_DELAY_DIVISOR: u64 = 3;

impl LoadSim<'_> {
    /// A request arrives at its front, for the first time or as a retry.
    pub(super) fn on_request(
        &mut self,
        key: RequestKey,
    ) {
        let state = &self.states[key.0];
        if state.outcome.is_some() {
            return;
        }
        let request = &self.requests[key.0];
        let kind = &self.load.kinds[request.kind];
        let front_request = FrontRequest {
            kind,
            prompt: &self.prompts[key.0],
            time_left: (request.at + kind.deadline()).since(self.now),
            tried: &state.tried,
            jitter: request.jitter,
        };
        match self.fronts[state.front].decide(&front_request, self.now) {
            FrontDecision::Routed(routed) => self.dispatch(key, *routed),
            FrontDecision::Refused(retry_after) => self.refuse(key, retry_after),
            FrontDecision::NoEngine => self.refuse(key, NO_ENGINE_RETRY_DELAY),
        }
    }

    fn dispatch(
        &mut self,
        key: RequestKey,
        routed: RoutedRequest,
    ) {
        let hop = self.hop(self.states[key.0].front, routed.engine);
        let state = &mut self.states[key.0];
        state.attempts += 1;
        state.sent_at = self.now;
        state.is_lost = false;
        state.routed = Some(routed);
        self.tally.attempts += 1;
        let attempt = AttemptKey {
            request: key,
            number: state.attempts,
        };
        self.queue
            .push(self.now + hop, SimEvent::AttemptArrived(attempt));
    }

    /// A refused caller retries once, at another front. It follows the suggested delay only as far
    /// as its own deadline allows.
    fn refuse(
        &mut self,
        key: RequestKey,
        retry_after: Micros,
    ) {
        let request = &self.requests[key.0];
        let deadline = request.at + self.load.kinds[request.kind].deadline();
        let state = &mut self.states[key.0];
        if state.was_refused {
            self.set_outcome(key, RequestOutcome::Refused);
            return;
        }
        state.was_refused = true;
        state.tried.clear();
        state.front = (state.front + 1) % self.load.fronts;
        let time_left = deadline.since(self.now);
        let delay = match request.is_impatient {
            true => Micros::ZERO,
            false => retry_after.min(Micros(time_left.0 / RETRY_DELAY_DIVISOR)),
        };
        let round_trip = millis(self.load.hops.caller_ms * 2.0);
        self.queue
            .push(self.now + round_trip + delay, SimEvent::RequestArrived(key));
    }

    /// A front receives the first token of a response.
    pub(super) fn on_first_token(
        &mut self,
        attempt: AttemptKey,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        let state = &mut self.states[attempt.request.0];
        state.first_token_at = Some(self.now);
        let is_first = state.tried.is_empty();
        let took = self.now.since(state.sent_at);
        if let Some(routed) = &state.routed {
            self.fronts[state.front].on_first_token(routed, took, is_first);
        }
    }

    /// A front receives the end of a response.
    pub(super) fn on_response_ended(
        &mut self,
        attempt: AttemptKey,
        pause: Micros,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        let key = attempt.request;
        let routed = self.release(key);
        let state = &self.states[key.0];
        if let Some(routed) = routed {
            let registry = &mut self.fronts[state.front].registry;
            registry.record_outcome(routed.choice.key, true, self.now);
        }
        let request = &self.requests[key.0];
        let kind = &self.load.kinds[request.kind];
        let first_token_at = state.first_token_at.unwrap_or(self.now);
        let first_token = (first_token_at + millis(self.load.hops.caller_ms)).since(request.at);
        let tally = &mut self.tally.kinds[request.kind];
        tally.first_ms.saturating_record(first_token.as_millis());
        tally.retried += u32::from(state.was_refused);
        let is_paused = pause > Micros::from_millis(kind.pause_ms);
        let outcome = match first_token > kind.target_latency() || is_paused {
            true => RequestOutcome::Late,
            false => RequestOutcome::OnTime,
        };
        self.set_outcome(key, outcome);
    }

    /// A front learns that an engine has lost an attempt. It retries at another engine if the
    /// request allows it and no token has arrived.
    pub(super) fn on_attempt_lost(
        &mut self,
        attempt: AttemptKey,
    ) {
        let key = attempt.request;
        let state = &self.states[key.0];
        if state.outcome.is_some() || state.attempts != attempt.number {
            return;
        }
        let Some(routed) = self.release(key) else {
            return;
        };
        let kind = &self.load.kinds[self.requests[key.0].kind];
        let state = &mut self.states[key.0];
        let registry = &mut self.fronts[state.front].registry;
        registry.record_outcome(routed.choice.key, false, self.now);
        state.tried.push(routed.engine);
        if state.first_token_at.is_none() && state.tried.len() < kind.sends as usize {
            self.on_request(key);
        } else {
            self.set_outcome(key, RequestOutcome::Failed);
        }
    }

    /// Ends a request whose caller has stopped waiting, and cancels it at its engine.
    pub(super) fn give_up(
        &mut self,
        key: RequestKey,
        outcome: RequestOutcome,
    ) {
        if self.states[key.0].outcome.is_some() {
            return;
        }
        if let Some(routed) = self.release(key) {
            let attempt = AttemptKey {
                request: key,
                number: self.states[key.0].attempts,
            };
            self.engines[routed.engine].cancel(attempt);
        }
        self.set_outcome(key, outcome);
    }

    /// Removes a request from its front's registry.
    fn release(
        &mut self,
        key: RequestKey,
    ) -> Option<RoutedRequest> {
        let state = &mut self.states[key.0];
        let routed = state.routed.take()?;
        let held = state.first_token_at.map(|_| self.now.since(state.sent_at));
        let tokens_in = self.prompts[key.0].tokens_in;
        self.fronts[state.front].on_ended(&routed, tokens_in, held);
        Some(routed)
    }

    fn set_outcome(
        &mut self,
        key: RequestKey,
        outcome: RequestOutcome,
    ) {
        let request = &self.requests[key.0];
        self.states[key.0].outcome = Some(outcome);
        let second = request.at.since(WARM_UP_TIME).as_secs_f64() as usize;
        self.tally.kinds[request.kind].record(outcome, second);
        self.pending -= 1;
    }
}
