use {
    crate::front::{
        make_endpoint_room, open_witness, record_heard, record_local_failure, send_request,
        BufferedResponse, ContactWatch, EndpointExchange, ExchangeFailure, LatestRun,
        PartTransfers, RequestHandler, RequestStage,
    },
    pitchhitch_core::{
        rollout::VersionArm,
        serving::{
            ContactStage, EndpointChoice, EndpointKey, EndpointStatus, PendingPrefill, ResumeSite,
            SoftwareTag,
        },
        time::Micros,
    },
    pitchhitch_http1::TcpConnection,
    pitchhitch_process::to_duration,
    std::{net::SocketAddr, time::Duration},
};

/// Connect timeout. One network trip takes 1 to 2 ms, and nothing has been sent yet, so another
/// endpoint can be tried.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(250);

/// A slot reserved at the endpoint that a request is about to be sent to.
pub(crate) struct ReservedSlot {
    ticket: u64,
    transfers: PartTransfers,
    /// Group of the endpoint, if a roll-out compares its version.
    arm: Option<VersionArm>,
    /// Whether the parts of the prompt were recorded as cached at the endpoint.
    records_parts: bool,
}

impl ReservedSlot {
    /// Slot of a moved run: its prompt is neither fetched nor saved, and no roll-out counts it
    /// twice.
    pub fn for_resumption(ticket: u64) -> Self {
        ReservedSlot {
            ticket,
            transfers: PartTransfers::default(),
            arm: None,
            records_parts: false,
        }
    }
}

/// Why a connection to an endpoint could not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenFailure {
    /// The endpoint does not accept it, or no longer takes requests.
    Endpoint,
    /// This box has no descriptors, ports or memory left.
    Local,
}

/// How an attempt at one endpoint ended.
pub(crate) enum AttemptOutcome {
    /// The caller has received the complete response.
    Delivered(u16),
    /// The caller closed its connection.
    CallerGone,
    /// The endpoint proved that it did not run the request.
    NotRun,
    /// The endpoint responded with a server error, which was received completely.
    Failed(BufferedResponse),
    /// The run has stopped to be moved, and resumes here.
    Moved(ResumeSite),
    /// There is no usable response.
    Broken(ExchangeFailure),
}

/// Whether the endpoint may still work for nobody: the caller has left, no time is left, or the
/// endpoint did not respond. After an orderly close, endpoints that had been paused went on with such
/// runs.
fn is_abandoned(outcome: &AttemptOutcome) -> bool {
    use ExchangeFailure::{Late, NotBegun, Overdue, Unresponsive};
    matches!(
        outcome,
        AttemptOutcome::CallerGone
            | AttemptOutcome::Broken(Late | NotBegun | Overdue | Unresponsive)
    )
}

impl RequestHandler<'_> {
    /// Opens an exchange with the endpoint, unless the endpoint has started to leave or has asked for
    /// rest before the connection is open.
    ///
    /// # Errors
    /// Why there is no exchange.
    pub(crate) async fn open_exchange(
        &mut self,
        choice: &EndpointChoice,
        slot: &mut ReservedSlot,
    ) -> Result<EndpointExchange, OpenFailure> {
        let front = self.front;
        let pooled = front.state().pool.take(choice.key, front.now());
        let connection = match pooled {
            Some(idle) => idle.connection,
            None => {
                let address = self.address_of(choice).ok_or(OpenFailure::Endpoint)?;
                make_endpoint_room(front);
                front.metrics.increment("links", "opened");
                match TcpConnection::connect(address, to_duration(CONNECT_TIMEOUT)).await {
                    Ok(connection) => connection,
                    Err(error) if record_local_failure(front, &error) => {
                        self.log_attempt(choice, "no-descriptor", &error.to_string());
                        return Err(OpenFailure::Local);
                    }
                    Err(error) => {
                        self.record_outcome(choice, false);
                        self.log_attempt(choice, "no-connection", &error.to_string());
                        return Err(OpenFailure::Endpoint);
                    }
                }
            }
        };
        self.witness = open_witness(front, choice.key).await;
        self.confirm_saves(&mut slot.transfers).await;
        let state = front.state();
        let entry = state
            .registry
            .get(choice.key)
            .ok_or(OpenFailure::Endpoint)?;
        let is_usable = entry.status != EndpointStatus::Leaving
            && entry.contact.stage() == ContactStage::Responding
            && !entry.rest.is_resting(front.now());
        match is_usable {
            true => Ok(EndpointExchange::new(connection)),
            false => Err(OpenFailure::Endpoint),
        }
    }

    fn address_of(
        &self,
        choice: &EndpointChoice,
    ) -> Option<SocketAddr> {
        let state = self.front.state();
        state.registry.get(choice.key).map(|entry| entry.address)
    }

    /// Reserves a slot at the endpoint before it is connected, so that requests that arrive
    /// meanwhile take it into account. Without this, thirty prompts that arrived at once were each
    /// sent to an engine believed idle; with it, those that would start too late are refused.
    pub(crate) fn reserve(
        &mut self,
        choice: &EndpointChoice,
    ) -> ReservedSlot {
        let front = self.front;
        let transfers = self.transfers_for(choice);
        self.begin_run(choice.key);
        let mut state = front.state();
        let ticket = state.allocate_ticket();
        if let Some(trial) = &self.trial {
            let suspects = trial.suspects.clone();
            let trials = &mut state.trials;
            trials.begin(ticket, suspects, choice.key, trial.kind);
        }
        let prefill = PendingPrefill {
            ticket,
            tokens: choice.prefill_tokens,
            memory_tokens: self.info.prompt.as_ref().map_or(0, |p| p.tokens_in),
            priority: self.priority(),
            sent_at: front.now(),
        };
        state.registry.record_sent(choice.key, prefill);
        let arm = self.begin_versioned_run(&mut state, choice);
        ReservedSlot {
            ticket,
            transfers,
            arm,
            records_parts: true,
        }
    }

    /// Records the engine of the run that is about to be sent.
    pub(crate) fn begin_run(
        &mut self,
        engine: EndpointKey,
    ) {
        let known_crashes = self.known_crashes();
        let state = self.front.state();
        let entry = state.registry.get(engine);
        self.latest_run = LatestRun {
            endpoint: Some(engine),
            incarnation: entry.map_or(0, |entry| entry.incarnation.ended),
            software: entry.map(SoftwareTag::of),
            born: entry.and_then(|entry| entry.incarnation.born),
            known_crashes,
            ..LatestRun::default()
        };
    }

    /// Releases the slot of a request that was not sent, and removes the parts that the endpoint
    /// would have cached.
    pub(crate) fn release(
        &self,
        choice: &EndpointChoice,
        slot: &ReservedSlot,
    ) {
        self.release_claims(&slot.transfers);
        let mut guard = self.front.state();
        let state = &mut *guard;
        state.registry.record_ended(choice.key, slot.ticket);
        state.registry.record_unsent(choice.key, slot.ticket);
        state.trials.end(slot.ticket);
        self.cancel_versioned_run(state, slot.arm);
        if !slot.records_parts {
            return;
        }
        let (Some(prompt), Some(version)) = (&self.info.prompt, choice.version) else {
            return;
        };
        let salt = self.cache_namespace(state, version).salt();
        let namespace = state.namespace_tag(&salt);
        let part_plans = &choice.plan.parts;
        let is_cached = |index: usize| {
            part_plans
                .get(index)
                .is_some_and(|part_plan| part_plan.is_cached)
        };
        if let Some(entry) = state.registry.get_mut(choice.key) {
            for (index, part) in prompt.parts.iter().enumerate() {
                if !is_cached(index) {
                    entry.parts.set(namespace, part.id, 0);
                }
            }
        }
    }

    pub(crate) async fn attempt(
        &mut self,
        choice: &EndpointChoice,
        slot: &ReservedSlot,
        exchange: &mut EndpointExchange,
    ) -> AttemptOutcome {
        let front = self.front;
        let ticket = slot.ticket;
        let bytes = self.encode(choice, &slot.transfers);
        let sent_at = front.now();
        self.latest_run.sent_at = sent_at;
        front
            .state()
            .registry
            .record_written(choice.key, ticket, sent_at);
        let is_resuming = self.moves.is_resuming();
        if let Some(prompt) = self.info.prompt.as_ref().filter(|_| !is_resuming) {
            let prefill_tokens = choice.prefill_tokens;
            let mut state = front.state();
            self.record_latency(&mut state, |estimator| {
                estimator.record_sent(prompt.tokens_in, prefill_tokens, prompt.tokens_out);
            });
        }
        self.sends += 1;
        self.set_stage(RequestStage::Sent);
        self.log_send(choice, "sent", "", &slot.transfers);
        let request_id = self.info.request_id.clone();
        let answers_within = self.answers_within(choice);
        let timeout = self.first_event_timeout(choice);
        self.timer
            .set_after(answers_within.map_or(timeout, |limit| timeout.min(limit)));
        self.timer.set_watch(Some(self.watch_contact(choice)));
        let (response, may_have_run) =
            send_request(exchange, &bytes, &request_id, self.caller, &mut self.timer).await;
        self.possible_runs += u32::from(may_have_run);
        let has_response = response.is_ok();
        let outcome = match response {
            Ok(response) => {
                self.set_stage(RequestStage::Responding);
                record_heard(front, choice.key);
                self.handle_response(choice, ticket, sent_at, exchange, response)
                    .await
            }
            Err(ExchangeFailure::CallerGone) => AttemptOutcome::CallerGone,
            Err(failure) => AttemptOutcome::Broken(failure),
        };
        self.set_stage(RequestStage::Waiting);
        self.timer.set_after(self.time_left());
        self.timer.set_watch(None);
        self.release_witness(choice);
        let outcome = match outcome {
            AttemptOutcome::Broken(ExchangeFailure::Late) if front.now() < self.deadline() => {
                let is_leaving = self.answers_within(choice) == Some(Duration::ZERO);
                AttemptOutcome::Broken(match is_leaving {
                    true => ExchangeFailure::NotBegun,
                    false => ExchangeFailure::Overdue,
                })
            }
            outcome => outcome,
        };
        if is_abandoned(&outcome) {
            exchange.connection.reset_on_drop();
        }
        self.end_claims(&slot.transfers, &outcome, has_response);
        self.record_ended(choice, ticket, sent_at);
        self.end_versioned_run(choice, slot.arm, sent_at, &outcome);
        self.record_attempt(choice, &outcome);
        outcome
    }

    /// Watches the endpoint of a run that is about to be sent. A run that may be repeated elsewhere
    /// leaves an endpoint that does not respond; others stay until they count as lost.
    fn watch_contact(
        &self,
        choice: &EndpointChoice,
    ) -> ContactWatch {
        let is_last_run = self.possible_runs + 1 >= self.max_runs();
        let leaves_at = match self.route().retry.allows_rerun() && !is_last_run {
            true => ContactStage::Unresponsive,
            false => ContactStage::Lost,
        };
        let front = self.front;
        front.contacts.register(choice.key, leaves_at, front.now())
    }

    /// Time left until the deadline of the request.
    pub(crate) fn time_left(&self) -> Duration {
        to_duration(self.deadline().since(self.front.now()))
    }

    /// Timeout for the first event of a stream. A stream that waits longer at an engine would start
    /// with weights that were replaced too long ago.
    fn first_event_timeout(
        &self,
        choice: &EndpointChoice,
    ) -> Duration {
        let front = self.front;
        let (Some(prompt), Some(version)) = (&self.info.prompt, choice.version) else {
            return self.time_left();
        };
        // A resumed stream has started on its weights already.
        if !self.route().is_stream || self.moves.is_resuming() {
            return self.time_left();
        }
        let limit = front.settings.execution_limit;
        let state = front.state();
        let planner = &state.planner;
        let time_to_expiry = planner.time_to_expiry(&prompt.model, version, limit, front.now());
        time_to_expiry.map_or(self.time_left(), |time_to_expiry| {
            to_duration(time_to_expiry).min(self.time_left())
        })
    }

    /// Time within which the caller of a stream that has not begun must be answered, as it leaves
    /// soon after. The queue of an engine that does not report is unknown; it may be computing.
    fn answers_within(
        &self,
        choice: &EndpointChoice,
    ) -> Option<Duration> {
        if !self.route().is_stream || self.progress.is_head_sent {
            return None;
        }
        let front = self.front;
        front.state().registry.get(choice.key)?.load?;
        let waited = self.caller_wait(front.now());
        Some(to_duration(self.caller_patience().answers_within(waited)))
    }

    pub(crate) fn record_attempt(
        &mut self,
        choice: &EndpointChoice,
        outcome: &AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Delivered(status) => {
                self.record_outcome(choice, true);
                if (200..300).contains(status) {
                    self.record_plain_time(choice);
                    self.record_completed();
                }
            }
            AttemptOutcome::CallerGone | AttemptOutcome::Moved(_) => {}
            AttemptOutcome::NotRun => self.log_attempt(choice, "not-run", ""),
            AttemptOutcome::Failed(response) => {
                self.record_outcome(choice, false);
                self.log_attempt(choice, "failed", &response.status.to_string());
            }
            AttemptOutcome::Broken(failure) => {
                if *failure != ExchangeFailure::NotBegun {
                    self.record_outcome(choice, false);
                }
                self.log_attempt(choice, "broken", &format!("{failure:?}"));
            }
        }
    }

    /// Returns a reusable connection to the pool.
    pub(crate) fn return_connection(
        &self,
        choice: &EndpointChoice,
        exchange: EndpointExchange,
    ) {
        let front = self.front;
        let mut state = front.state();
        if exchange.is_reusable && self.is_same_incarnation(&state, choice) {
            state.pool.put(
                choice.key,
                exchange.connection,
                exchange.keep_alive_timeout,
                front.now(),
            );
        }
    }
}
