use {
    crate::front::{FrontState, PartTransfers, RequestHandler},
    pitchhitch_core::{
        serving::{EndProof, EndpointChoice, EnginePool, PromptSize},
        time::Micros,
    },
    pitchhitch_http1::BodyFraming,
};

/// Label of attempts by size class of the prompt and pool of the engine.
fn pool_label(
    size: PromptSize,
    pool: EnginePool,
) -> &'static str {
    match (size, pool) {
        (PromptSize::Short, EnginePool::Shared) => "short-shared",
        (PromptSize::Short, EnginePool::Reserved) => "short-reserved",
        (PromptSize::Short, EnginePool::Open) => "short-open",
        (PromptSize::Long, EnginePool::Shared) => "long-shared",
        (PromptSize::Long, EnginePool::Reserved) => "long-reserved",
        (PromptSize::Long, EnginePool::Open) => "long-open",
    }
}

impl RequestHandler<'_> {
    /// The shared parts of the prompt, each with a letter: `k` cached, `f` fetched from a store,
    /// `e` fetched from an engine, `r` prefilled.
    pub(crate) fn describe_parts(
        &self,
        choice: &EndpointChoice,
    ) -> String {
        let parts = self
            .info
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let mut text = String::new();
        for (index, part) in parts[..parts.len().saturating_sub(1)].iter().enumerate() {
            let letter = match choice.plan.parts.get(index) {
                None => 'r',
                Some(part_plan) if part_plan.is_cached => 'k',
                Some(part_plan) => match &part_plan.source {
                    Some((source, _)) if source.is_engine() => 'e',
                    _ => 'f',
                },
            };
            let comma = if index == 0 { "" } else { "," };
            text.push_str(&format!("{comma}{}:{letter}", part.id));
        }
        text
    }

    /// The ids of all parts of the prompt, to find out what lost and answered runs have in common.
    pub(crate) fn list_parts(&self) -> String {
        let prompt = self.info.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        let ids: Vec<String> = parts.iter().map(|part| part.id.to_string()).collect();
        ids.join(",")
    }

    /// The parts that the engine is to save, each with the store and its known incarnation.
    fn describe_saves(
        &self,
        state: &FrontState,
        transfers: &PartTransfers,
    ) -> String {
        let prompt = self.info.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        let saves = parts.iter().zip(transfers.saves());
        let saves = saves.filter_map(|(part, store)| {
            let store = store?;
            let epoch = state.kv_store_directory.epoch(store).unwrap_or(0);
            Some(format!("{}@{store}#{epoch}", part.id))
        });
        saves.collect::<Vec<String>>().join(",")
    }

    pub(crate) fn log_attempt(
        &self,
        choice: &EndpointChoice,
        outcome: &str,
        cause: &str,
    ) {
        self.log_send(choice, outcome, cause, &PartTransfers::default());
    }

    /// Logs an attempt, with the saves that are ordered and the time by which fetches from stores must
    /// have ended.
    pub(crate) fn log_send(
        &self,
        choice: &EndpointChoice,
        outcome: &str,
        cause: &str,
        transfers: &PartTransfers,
    ) {
        let front = self.front;
        let state = front.state();
        let entry = state.registry.get(choice.key);
        let now = front.now();
        let load = entry.and_then(|entry| entry.load.as_ref());
        let inputs = state.admission.inputs();
        log::info!(
            event = "try",
            request = self.info.request_id.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            software = entry.map_or("", |entry| entry.software.as_str()),
            outcome = outcome,
            cause = cause,
            send = self.sends,
            standing = entry.map_or("", |entry| entry.status.as_str()),
            list_age_ms = state.list_age(now).map_or(-1, |age| age.as_millis() as i64),
            cost_ms = choice.cost.total() as i64,
            terms = choice.cost.to_string().as_str(),
            size = self.prompt_size().as_str(),
            pool = choice.pool.as_str(),
            reserved = state.prompt_pools.reserved_count(&self.service),
            rate = format!("{:.2}", choice.rate).as_str(),
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
            parts = self.describe_parts(choice).as_str(),
            fetch_until_ms = transfers.fetch_until_ms.map_or(-1, |until| until as i64),
            saves = self.describe_saves(&state, transfers).as_str(),
            unclaimed = transfers.unclaimed,
            claim_ms = transfers.claim_wait.as_millis(),
            weights = choice.version.unwrap_or(0),
            named = self.published_version(&state).unwrap_or(0),
            named_age_ms = self.published_age(&state, now).map_or(-1, |age| age.as_millis() as i64),
            of = choice.candidates,
            lacking = state.admission.memory_shortage(),
            urgent = inputs.urgent_tokens as u64,
            share = finite_or_unset(inputs.share),
            taken = inputs.used as u64,
            told = inputs.has_reports,
            token_us = (self.estimator(&state).token_ms() * 1_000.0) as u64,
            pace_us = load.map_or(0, |load| load.pace_us),
            gap_us = load.map_or(0, |load| load.event_gap_us),
            load_age_ms = load.map_or(-1, |load| now.since(load.at).as_millis() as i64);
            ""
        );
        front.metrics.increment("tries", outcome);
        if self.info.prompt.is_some() && outcome == "sent" {
            front
                .metrics
                .increment("pool_tries", pool_label(self.prompt_size(), choice.pool));
        }
    }

    fn published_version(
        &self,
        state: &FrontState,
    ) -> Option<u64> {
        state
            .planner
            .published_version(&self.info.prompt.as_ref()?.model)
    }

    fn published_age(
        &self,
        state: &FrontState,
        now: Micros,
    ) -> Option<Micros> {
        state
            .planner
            .published_age(&self.info.prompt.as_ref()?.model, now)
    }

    /// Time since the endpoint of the latest run sent events, or since it received the request.
    fn endpoint_silence(&self) -> Option<Micros> {
        let sent_at = self.latest_run.endpoint.map(|_| self.latest_run.sent_at)?;
        let since_sent = self.front.now().since(sent_at);
        let since_events = self.progress.written_at.map(|at| at.elapsed());
        let since_events = since_events.map(|elapsed| Micros(elapsed.as_micros() as u64));
        Some(since_events.map_or(since_sent, |since_events| since_events.min(since_sent)))
    }

    pub(crate) fn log_end(
        &self,
        outcome: &str,
        cause: &str,
        status: u16,
    ) {
        let front = self.front;
        let now = front.now();
        let arrived_at = self.request.arrived_at;
        let time_to_response = self.response_started_at.map(|at| at.since(arrived_at));
        let state = front.state();
        let entry = self
            .latest_run
            .endpoint
            .and_then(|key| state.registry.get(key));
        let load = entry.and_then(|entry| entry.load.as_ref());
        let silence = self.endpoint_silence();
        log::info!(
            event = "end",
            request = self.info.request_id.as_str(),
            route = self.route().name.as_str(),
            outcome = outcome,
            cause = cause,
            status = status,
            sends = self.sends,
            first_ms = time_to_response.map_or(-1, |time| time.as_millis() as i64),
            took_ms = now.since(arrived_at).as_millis(),
            worst_gap_ms = self.progress.longest_gap.as_millis(),
            writes = self.progress.writes,
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            endpoint_silent_ms = silence.map_or(-1, |silence| silence.as_millis() as i64),
            report_age_ms = load.map_or(-1, |load| now.since(load.at).as_millis() as i64),
            framing = self.progress.framing.map_or("", BodyFraming::as_str),
            unfinished = self.progress.splitter.partial_event().len(),
            end_proof = self.progress.end_proof.map_or("", EndProof::as_str),
            continues = self.info.continues.as_deref().unwrap_or(""),
            parts = self.list_parts().as_str(),
            config = self.config.version;
            ""
        );
        front.metrics.increment("requests", outcome);
        front.metrics.record_time("took", now.since(arrived_at).0);
        if let Some(time) = time_to_response {
            front.metrics.record_time("first", time.0);
        }
    }
}

/// A whole number for logs; -1 if there is no limit.
pub(crate) fn finite_or_unset(value: f64) -> i64 {
    match value.is_finite() {
        true => value as i64,
        false => -1,
    }
}
