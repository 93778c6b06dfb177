use {
    super::{FrontState, RequestRun},
    pitchhitch_core::{serving::EndpointChoice, time::Micros},
};

impl RequestRun<'_> {
    /// The shared parts and what becomes of them: kept, fetched from a store or an
    /// engine, or read.
    pub(super) fn told_parts(
        &self,
        choice: &EndpointChoice,
    ) -> String {
        let parts = self
            .ask
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let mut told = String::new();
        for (place, part) in parts[..parts.len().saturating_sub(1)].iter().enumerate() {
            let sign = match choice.plan.parts.get(place) {
                None => 'r',
                Some(fetch) if fetch.is_cached => 'k',
                Some(fetch) => match &fetch.source {
                    Some((source, _)) if source.is_engine() => 'e',
                    _ => 'f',
                },
            };
            let comma = if place == 0 { "" } else { "," };
            told.push_str(&format!("{comma}{}:{sign}", part.id));
        }
        told
    }

    pub(super) fn log_try(
        &self,
        choice: &EndpointChoice,
        outcome: &str,
        cause: &str,
    ) {
        self.log_send(choice, outcome, cause, None);
    }

    /// Logs a try, with the time by which fetches from stores must have ended.
    pub(super) fn log_send(
        &self,
        choice: &EndpointChoice,
        outcome: &str,
        cause: &str,
        fetch_until_ms: Option<u64>,
    ) {
        let front = self.front;
        let state = front.state();
        let entry = state.registry.get(choice.key);
        let now = front.now();
        let load = entry.and_then(|entry| entry.load.as_ref());
        log::info!(
            event = "try",
            request = self.ask.request_id.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            outcome = outcome,
            cause = cause,
            send = self.sends,
            estimate_ms = choice.estimate_ms as u64,
            ahead_ms = choice.ahead_ms as u64,
            running = entry.map_or(0, |entry| entry.occupied(now)),
            queue_ms = choice.queue_ms as u64,
            waiting = choice.waiting,
            free = choice.free_tokens.map_or(-1, |free| free as i64),
            used = load.map_or(0, |load| load.used_tokens),
            unread = choice.prefill_tokens,
            shared_unread = choice.shared_prefill_tokens,
            kept = choice.plan.cached_tokens,
            fetched = choice.plan.fetched_tokens,
            fetch_ms = choice.plan.fetch_ms as u64,
            parts = self.told_parts(choice).as_str(),
            fetch_until_ms = fetch_until_ms.map_or(-1, |until| until as i64),
            weights = choice.version.unwrap_or(0),
            named = self.named_version(&state).unwrap_or(0),
            named_age_ms = self.named_age(&state, now).map_or(-1, |age| age.as_millis() as i64),
            of = choice.candidates,
            lacking = state.admission.memory_shortage(),
            token_us = (state.latency_estimator.token_ms() * 1_000.0) as u64,
            load_age_ms = load.map_or(-1, |load| now.since(load.at).as_millis() as i64);
            ""
        );
        front.metrics.count("tries", outcome);
    }

    fn named_version(
        &self,
        state: &FrontState,
    ) -> Option<u64> {
        state
            .planner
            .published_version(&self.ask.prompt.as_ref()?.model)
    }

    fn named_age(
        &self,
        state: &FrontState,
        now: Micros,
    ) -> Option<Micros> {
        state
            .planner
            .published_age(&self.ask.prompt.as_ref()?.model, now)
    }

    pub(super) fn log_end(
        &self,
        outcome: &str,
        status: u16,
    ) {
        let front = self.front;
        let now = front.now();
        let came_at = self.request.came_at;
        let first = self.began_at.map(|at| at.since(came_at));
        log::info!(
            event = "end",
            request = self.ask.request_id.as_str(),
            route = self.route().name.as_str(),
            outcome = outcome,
            status = status,
            sends = self.sends,
            first_ms = first.map_or(-1, |first| first.as_millis() as i64),
            took_ms = now.since(came_at).as_millis(),
            writes = self.progress.writes,
            config = self.config.version;
            ""
        );
        front.metrics.count("requests", outcome);
        front.metrics.record_time("took", now.since(came_at).0);
        if let Some(first) = first {
            front.metrics.record_time("first", first.0);
        }
    }
}
