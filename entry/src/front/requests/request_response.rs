use {
    crate::front::{
        read_plain_response, record_heard, record_origin, record_proof, relay_plain_response,
        relay_stream, skip_response_body, write_to_caller, AttemptOutcome, EndpointExchange,
        EndpointResponse, EndpointStream, ExchangeFailure, HeldBytes, PlainResponse, RelayEnd,
        RelayEvent, RequestHandler, RequestStage, CRASH_WINDOW,
    },
    pitchhitch_core::{
        serving::{EndpointChoice, HeldKind, MoveEvent},
        time::Micros,
    },
    pitchhitch_http1::BodyFraming,
    pitchhitch_process::to_duration,
};

impl RequestHandler<'_> {
    /// Handles an endpoint's response to its end.
    pub(crate) async fn handle_response(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
        exchange: &mut EndpointExchange,
        response: EndpointResponse,
    ) -> AttemptOutcome {
        self.progress.framing = Some(response.framing);
        self.choose_witness(choice, &response, sent_at);
        self.record_statements(choice, sent_at, &response.info);
        if let (Some(version), Some(prompt)) = (response.info.version, &self.info.prompt) {
            self.record_version(choice, &prompt.model.clone(), version);
        }
        // An engine that refuses a handle does not run the request.
        let is_handle_refused = self.moves.is_resuming() && response.head.status == 503;
        if response.info.is_not_run || is_handle_refused {
            self.possible_runs -= 1;
            self.detect_replacement(choice, &response);
            return self.discard_response(exchange, &response).await;
        }
        let is_success = (200..300).contains(&response.head.status);
        let is_verified = response.info.is_signed && !response.info.is_encoded;
        if is_success && !is_verified {
            return AttemptOutcome::Broken(ExchangeFailure::Garbled);
        }
        if is_success && self.route().is_stream {
            self.confirm_resumption(choice);
            return self
                .handle_stream(choice, ticket, sent_at, exchange, &response)
                .await;
        }
        if self.progress.is_head_sent {
            return AttemptOutcome::Broken(ExchangeFailure::Lost);
        }
        self.handle_plain_response(choice, exchange, &response)
            .await
    }

    /// Delivers a response that is not a stream: a short one once it is complete, so that another
    /// endpoint can be tried if it breaks off.
    async fn handle_plain_response(
        &mut self,
        choice: &EndpointChoice,
        exchange: &mut EndpointExchange,
        response: &EndpointResponse,
    ) -> AttemptOutcome {
        let has_no_body = self.request.head.method == "HEAD";
        let closes = self.closes();
        let mut held = HeldBytes::new(self.front, HeldKind::Answer);
        let caller = &mut *self.caller;
        let read = read_plain_response(
            exchange,
            response,
            has_no_body,
            closes,
            &mut held,
            caller,
            &mut self.timer,
        )
        .await;
        match read {
            Ok(PlainResponse::Complete(_))
                if !has_no_body && !self.is_over(choice, response.framing).await =>
            {
                AttemptOutcome::Broken(ExchangeFailure::Lost)
            }
            Ok(PlainResponse::Complete(buffered)) => {
                self.progress.closes = closes;
                self.mark_reusable(exchange, response);
                if buffered.status >= 500 {
                    return AttemptOutcome::Failed(buffered);
                }
                self.response_started_at = Some(self.front.now());
                match self.write_buffered(&buffered).await {
                    true => AttemptOutcome::Delivered(buffered.status),
                    false => AttemptOutcome::CallerGone,
                }
            }
            Ok(PlainResponse::Partial(partial)) => {
                drop(held);
                self.progress.closes = closes;
                self.progress.is_head_sent = true;
                self.set_stage(RequestStage::Begun);
                self.timer.set_after(self.time_left());
                self.response_started_at = Some(self.front.now());
                let caller = &mut *self.caller;
                let relayed =
                    relay_plain_response(exchange, partial, caller, &mut self.timer).await;
                match relayed {
                    Ok(_) if !self.is_over(choice, response.framing).await => {
                        AttemptOutcome::Broken(ExchangeFailure::Lost)
                    }
                    Ok(end) => {
                        if !write_to_caller(self.caller, end, &mut self.timer).await {
                            return AttemptOutcome::CallerGone;
                        }
                        self.mark_reusable(exchange, response);
                        AttemptOutcome::Delivered(response.head.status)
                    }
                    Err(ExchangeFailure::CallerGone) => AttemptOutcome::CallerGone,
                    Err(failure) => AttemptOutcome::Broken(failure),
                }
            }
            Err(ExchangeFailure::CallerGone) => AttemptOutcome::CallerGone,
            Err(failure) => AttemptOutcome::Broken(failure),
        }
    }

    pub(crate) async fn handle_stream(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
        exchange: &mut EndpointExchange,
        response: &EndpointResponse,
    ) -> AttemptOutcome {
        let front = self.front;
        let entry = self.entry;
        let is_unanswered_prompt = self.info.prompt.is_some() && !self.progress.is_head_sent;
        let tokens_until_start = choice.ahead_tokens + f64::from(choice.prefill_tokens);
        let size = self.prompt_size();
        let has_pools = front.state().prompt_pools.has_pools(&self.service);
        let is_first_send = is_unanswered_prompt && self.sends == 1;
        self.check_run_software();
        let new_origin = self.new_origin();
        let shared_parts = self.shared_parts();
        let mut is_proven = false;
        let mut first_event_at: Option<Micros> = None;
        let mut version = None;
        let mut on_event = |event| match event {
            RelayEvent::Events => {
                record_heard(front, choice.key);
                let runs_on = |at: Micros| front.now().since(at) >= CRASH_WINDOW;
                if !is_proven && first_event_at.is_some_and(runs_on) {
                    is_proven = true;
                    record_proof(front, &shared_parts);
                }
            }
            RelayEvent::FirstEvent => {
                let now = front.now();
                first_event_at = Some(now);
                entry.set_stage(RequestStage::Begun);
                if let Some(origin) = new_origin {
                    record_origin(front, origin);
                }
                let mut state = front.state();
                state.registry.record_first_token(choice.key, ticket);
                state.trials.record_first_event(ticket, now);
                if is_first_send {
                    let latency_ms = now.since(sent_at).as_millis() as f64;
                    let estimators = &mut state.latency_estimators;
                    estimators.record(size, has_pools, |estimator| {
                        let start_ms = (latency_ms - choice.plan.fetch_ms) / choice.rate;
                        estimator.record_first_token(tokens_until_start, start_ms);
                    });
                }
            }
            RelayEvent::VersionChanged(new) => version = Some(new),
        };
        self.progress.splitter.discard_partial();
        if !self.progress.is_head_sent {
            self.progress.closes = self.closes();
        }
        self.register_stream(response.framing);
        let deadline = self.deadline;
        let time_left = || to_duration(deadline.since(front.now()));
        let witness = self.witness.take();
        let mut stream = EndpointStream::new(exchange, response, witness);
        let end = loop {
            let end = relay_stream(
                &mut stream,
                &mut self.progress,
                self.caller,
                &mut self.timer,
                &self.moves,
                &time_left,
                &mut on_event,
            )
            .await;
            match end {
                Ok(RelayEnd::Mail(mail)) => {
                    if let Err(failure) = self.handle_move_mail(choice, mail) {
                        break Err(failure);
                    }
                }
                Ok(end) => break Ok(end),
                Err(ExchangeFailure::Unresponsive)
                    if !self.progress.splitter.can_continue() && self.timer.wait_until_lost() => {}
                Err(failure) => break Err(failure),
            }
        };
        self.latest_run.first_event_at = first_event_at;
        if first_event_at.is_some() {
            self.origin = self.origin.or(self.latest_run.software);
        }
        self.response_started_at = self.response_started_at.or(first_event_at);
        if let (Some(version), Some(prompt)) = (version, &self.info.prompt) {
            self.record_version(choice, &prompt.model.clone(), version);
        }
        self.witness = stream.take_witness();
        let result = match end {
            Ok(_) if !self.is_over(choice, response.framing).await => Err(ExchangeFailure::Lost),
            Ok(RelayEnd::Unproven) => {
                let (progress, caller) = (&mut self.progress, &mut *self.caller);
                stream.send_end(progress, caller, &mut self.timer).await
            }
            Ok(RelayEnd::Complete | RelayEnd::Mail(_)) => Ok(()),
            Err(failure) => Err(failure),
        };
        match result {
            Ok(()) => {
                self.notify_move(MoveEvent::StreamEnded);
                self.end_move("ended");
                self.mark_reusable(exchange, response);
                AttemptOutcome::Delivered(response.head.status)
            }
            Err(failure) => self.handle_broken_stream(failure).await,
        }
    }

    pub(crate) async fn discard_response(
        &mut self,
        exchange: &mut EndpointExchange,
        response: &EndpointResponse,
    ) -> AttemptOutcome {
        let caller = &mut *self.caller;
        let discarded = skip_response_body(exchange, response.framing, caller, &mut self.timer);
        match discarded.await {
            Ok(()) => self.mark_reusable(exchange, response),
            Err(ExchangeFailure::CallerGone) => return AttemptOutcome::CallerGone,
            // The proof that the request was not run has arrived; only the connection is unusable.
            Err(_) => {}
        }
        AttemptOutcome::NotRun
    }

    /// Marks the connection as reusable if the request was sent completely, no unread bytes are left
    /// and the endpoint keeps it open.
    pub(crate) fn mark_reusable(
        &self,
        exchange: &mut EndpointExchange,
        response: &EndpointResponse,
    ) {
        let is_drained = exchange.is_fully_sent && exchange.connection.buffer().is_empty();
        let is_closing = response.info.closes || response.framing == BodyFraming::UntilClose;
        if !is_drained || is_closing {
            return;
        }
        exchange.is_reusable = true;
        exchange.keep_alive_timeout = response.info.keep_alive_timeout;
    }
}
