use {
    super::{learn_weights, FrontState, OfferAnswer, RequestRun},
    pitchhitch_core::{
        serving::{EndpointChoice, EndpointRejoin, EndpointStatus},
        time::Micros,
    },
};

impl RequestRun<'_> {
    /// Whether the endpoint still lives the life in which it was chosen: requests that
    /// a crash broke off took the engine that had started again out for seconds.
    pub(super) fn is_of_life(
        &self,
        state: &FrontState,
        choice: &EndpointChoice,
    ) -> bool {
        let entry = state.registry.get(choice.key);
        entry.is_some_and(|entry| entry.incarnation.ended == self.run.life)
    }

    pub(super) fn judge(
        &self,
        choice: &EndpointChoice,
        is_sound: bool,
    ) {
        let front = self.front;
        let mut state = front.state();
        if !self.is_of_life(&state, choice) {
            return;
        }
        if state
            .registry
            .record_outcome(choice.key, is_sound, front.now())
        {
            let id = state
                .registry
                .get(choice.key)
                .map_or("", |entry| entry.id.as_str());
            log::warn!(event = "endpoint-out", endpoint = id, cause = "failures"; "");
            front.metrics.count("endpoints", "out");
        }
    }

    /// Notes that an endpoint is done with the request, and for how long a prompt
    /// held memory there.
    pub(super) fn learn_ended(
        &self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
    ) {
        let mut state = self.front.state();
        state.registry.record_ended(choice.key, ticket);
        state.trials.end(ticket);
        let (Some(prompt), Some(_)) = (&self.ask.prompt, self.began_at) else {
            return;
        };
        let held = self.front.now().since(sent_at).as_millis() as f64;
        state.latency_estimator.record_ended(prompt.tokens_in, held);
    }

    pub(super) fn learn_version(
        &self,
        choice: &EndpointChoice,
        model: &str,
        version: u64,
    ) {
        let mut state = self.front.state();
        if !self.is_of_life(&state, choice) {
            return;
        }
        if let Some(entry) = state.registry.get_mut(choice.key) {
            learn_weights(entry, model, version, "answer");
        }
    }

    pub(super) fn learn_refusal(
        &self,
        choice: &EndpointChoice,
        answer: &OfferAnswer,
    ) {
        let mut state = self.front.state();
        let Some(entry) = state.registry.get_mut(choice.key) else {
            return;
        };
        let other = answer
            .marks
            .endpoint_id
            .as_ref()
            .filter(|id| **id != entry.id);
        if let Some(other) = other.filter(|_| answer.marks.is_misdirected) {
            log::warn!(
                event = "endpoint-replaced",
                endpoint = entry.id.as_str(),
                by = other.as_str();
                ""
            );
            entry.status = EndpointStatus::Leaving;
            entry.rejoin = EndpointRejoin::Never;
            state.pool.close_all(choice.key);
            // Who was listed before it may be there after all.
            state.registry.mark_superseded();
        }
    }
}
