use {
    crate::front::{update_weights, EndpointResponse, FrontState, RequestHandler},
    pitchhitch_core::{
        serving::{EndProof, EndpointChoice, EndpointRejoin, EndpointStatus},
        time::Micros,
    },
};

impl RequestHandler<'_> {
    /// Whether the endpoint is still the incarnation that was chosen. Without this check, requests
    /// interrupted by a crash ejected the restarted engine for seconds.
    pub(crate) fn is_same_incarnation(
        &self,
        state: &FrontState,
        choice: &EndpointChoice,
    ) -> bool {
        let entry = state.registry.get(choice.key);
        entry.is_some_and(|entry| entry.incarnation.ended == self.latest_run.incarnation)
    }

    pub(crate) fn record_outcome(
        &self,
        choice: &EndpointChoice,
        is_success: bool,
    ) {
        let front = self.front;
        let mut state = front.state();
        if !self.is_same_incarnation(&state, choice) {
            return;
        }
        if state
            .registry
            .record_outcome(choice.key, is_success, front.now())
        {
            let id = state
                .registry
                .get(choice.key)
                .map_or("", |entry| entry.id.as_str());
            log::warn!(event = "endpoint-out", endpoint = id, cause = "failures"; "");
            front.metrics.increment("endpoints", "out");
        }
    }

    /// Records that an endpoint has finished the request, and for how long a prompt occupied memory
    /// there.
    pub(crate) fn record_ended(
        &self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
    ) {
        let mut state = self.front.state();
        state.registry.record_ended(choice.key, ticket);
        state.trials.end(ticket);
        let (Some(prompt), Some(_)) = (&self.info.prompt, self.response_started_at) else {
            return;
        };
        let held_ms = self.front.now().since(sent_at).as_millis() as f64;
        self.record_latency(&mut state, |estimator| {
            estimator.record_ended(prompt.tokens_in, held_ms);
        });
    }

    /// Records how long a request took at an endpoint without an engine.
    pub(crate) fn record_plain_time(
        &self,
        choice: &EndpointChoice,
    ) {
        let front = self.front;
        let mut state = front.state();
        let is_plain = self.info.prompt.is_none() && !self.route().is_stream;
        if !is_plain || !self.is_same_incarnation(&state, choice) {
            return;
        }
        let (Some(at), Some(entry)) =
            (self.response_started_at, state.registry.get_mut(choice.key))
        else {
            return;
        };
        let millis = at.since(self.latest_run.sent_at).0 as f64 / 1e3;
        entry.plain_time.record(millis, front.now());
    }

    /// Records on what grounds the end of an answer was judged. Each answer that ends with its
    /// connection has a line, since its request may go on elsewhere.
    pub(crate) fn record_end(
        &mut self,
        choice: &EndpointChoice,
        is_whole: bool,
        proof: EndProof,
    ) {
        self.progress.end_proof = Some(proof);
        let front = self.front;
        front.metrics.increment("answer_ends", proof.as_str());
        if proof == EndProof::Framing {
            return;
        }
        let state = front.state();
        let entry = state.registry.get(choice.key);
        log::info!(
            event = "answer-end",
            request = self.info.request_id.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            proof = proof.as_str(),
            is_whole = is_whole;
            ""
        );
    }

    pub(crate) fn record_version(
        &self,
        choice: &EndpointChoice,
        model: &str,
        version: u64,
    ) {
        let mut state = self.front.state();
        if !self.is_same_incarnation(&state, choice) {
            return;
        }
        if let Some(entry) = state.registry.get_mut(choice.key) {
            update_weights(entry, model, version, "answer");
        }
    }

    /// Marks the endpoint as leaving if another endpoint refused the request at its address.
    pub(crate) fn detect_replacement(
        &self,
        choice: &EndpointChoice,
        response: &EndpointResponse,
    ) {
        let mut state = self.front.state();
        let Some(entry) = state.registry.get_mut(choice.key) else {
            return;
        };
        let other = response
            .info
            .endpoint_id
            .as_ref()
            .filter(|id| **id != entry.id);
        if let Some(other) = other.filter(|_| response.info.is_misdirected) {
            log::warn!(
                event = "endpoint-replaced",
                endpoint = entry.id.as_str(),
                by = other.as_str();
                ""
            );
            entry.status = EndpointStatus::Leaving;
            entry.rejoin = EndpointRejoin::Never;
            state.pool.close_all(choice.key);
            // The endpoint that was listed before this one may still be there.
            state.registry.mark_superseded();
        }
    }
}
