use {
    super::{send_offer, LatestRun, OfferFailure, OpenOffer, PartMoves, RequestRun, WholeAnswer},
    pitchhitch_core::{
        serving::{EndpointChoice, EndpointStatus, PendingPrefill},
        time::Micros,
    },
    pitchhitch_http1::ByteLink,
    pitchhitch_process::to_duration,
    std::time::Duration,
};

/// Longest wait for a connection to an endpoint: a way takes a millisecond or
/// two, and nothing has been sent yet.
const OPEN_LIMIT: Micros = Micros::from_millis(250);

/// What is counted for a request at the endpoint that it is about to be sent to.
pub(super) struct ReservedPlace {
    ticket: u64,
    moves: PartMoves,
}

/// What one endpoint made of the request.
pub(super) enum TryEnd {
    /// The caller has its answer, whole.
    Delivered(u16),
    /// The caller has gone.
    CallerGone,
    /// The endpoint proved that it did not run the request.
    NotRun,
    /// The endpoint answered with a failure of its own, whole.
    Failed(WholeAnswer),
    /// There is no answer that can be used.
    Broken(OfferFailure),
}

impl RequestRun<'_> {
    /// A connection to the endpoint, if it still may get requests then.
    pub(super) async fn open(
        &mut self,
        choice: &EndpointChoice,
    ) -> Option<OpenOffer> {
        let front = self.front;
        let kept = front.state().pool.take(choice.key, front.now());
        let link = match kept {
            Some(link) => link,
            None => {
                let address = front.state().registry.get(choice.key)?.address;
                front.metrics.count("links", "opened");
                match ByteLink::open(address, to_duration(OPEN_LIMIT)).await {
                    Ok(link) => link,
                    Err(error) => {
                        self.judge(choice, false);
                        self.log_try(choice, "no-connection", &error.to_string());
                        return None;
                    }
                }
            }
        };
        let state = front.state();
        let entry = state.registry.get(choice.key)?;
        (entry.status != EndpointStatus::Leaving).then(|| OpenOffer::new(link))
    }

    /// Counts the request at the endpoint before a connection is there: requests that
    /// come in the meantime must see it. Of thirty prompts that came at once, each was
    /// sent to an engine believed idle; now those that would begin too late are refused.
    pub(super) fn reserve(
        &mut self,
        choice: &EndpointChoice,
    ) -> ReservedPlace {
        let front = self.front;
        let moves = self.moves_for(choice);
        let mut state = front.state();
        let entry = state.registry.get(choice.key);
        self.run = LatestRun {
            life: entry.map_or(0, |entry| entry.incarnation.ended),
            born: entry.and_then(|entry| entry.incarnation.born),
            known_crashes: self.trial.unwrap_or(0),
            ..LatestRun::default()
        };
        let ticket = state.allocate_ticket();
        if let (Some(crashes), Some(fingerprint)) = (self.trial, self.known_as) {
            let is_alone = crashes > 1;
            state
                .trials
                .begin(ticket, fingerprint, choice.key, is_alone);
        }
        let work = PendingPrefill {
            ticket,
            tokens: choice.prefill_tokens,
            memory_tokens: self.ask.prompt.as_ref().map_or(0, |p| p.tokens_in),
            priority: self.rank(),
            sent_at: front.now(),
        };
        state.registry.record_sent(choice.key, work);
        ReservedPlace { ticket, moves }
    }

    /// Takes back what was counted for a request that is not sent, and the parts that
    /// the endpoint would have kept then.
    pub(super) fn release(
        &self,
        choice: &EndpointChoice,
        place: &ReservedPlace,
    ) {
        let mut guard = self.front.state();
        let state = &mut *guard;
        state.registry.record_ended(choice.key, place.ticket);
        state.registry.record_unsent(choice.key, place.ticket);
        state.trials.end(place.ticket);
        let (Some(prompt), Some(version)) = (&self.ask.prompt, choice.version) else {
            return;
        };
        let wall = state.namespace_tag(&self.wall(version).salt());
        let planned = &choice.plan.parts;
        let is_kept = |at: usize| planned.get(at).is_some_and(|fetch| fetch.is_cached);
        if let Some(entry) = state.registry.get_mut(choice.key) {
            for (at, part) in prompt.parts.iter().enumerate() {
                if !is_kept(at) {
                    entry.parts.set(wall, part.id, 0);
                }
            }
        }
    }

    pub(super) async fn try_endpoint(
        &mut self,
        choice: &EndpointChoice,
        place: &ReservedPlace,
        offer: &mut OpenOffer,
    ) -> TryEnd {
        let front = self.front;
        let ticket = place.ticket;
        let bytes = self.encode(choice, &place.moves);
        let sent_at = front.now();
        self.run.sent_at = sent_at;
        front
            .state()
            .registry
            .record_written(choice.key, ticket, sent_at);
        if let Some(prompt) = &self.ask.prompt {
            let unread = choice.prefill_tokens;
            let mut state = front.state();
            state
                .latency_estimator
                .record_sent(prompt.tokens_in, unread, prompt.tokens_out);
        }
        self.sends += 1;
        self.log_send(choice, "sent", "", place.moves.until_ms);
        let request_id = self.ask.request_id.clone();
        self.timer.set_after(self.begin_time(choice));
        let (answer, may_have_run) =
            send_offer(offer, &bytes, &request_id, self.caller, &mut self.timer).await;
        self.may_have_run += u32::from(may_have_run);
        let end = match answer {
            Ok(answer) => {
                self.take_answer(choice, ticket, sent_at, offer, answer)
                    .await
            }
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        };
        self.timer.set_after(self.time_left());
        let end = match end {
            TryEnd::Broken(OfferFailure::Late) if front.now() < self.ends_at => {
                TryEnd::Broken(OfferFailure::Overdue)
            }
            end => end,
        };
        self.learn_ended(choice, ticket, sent_at);
        self.after_try(choice, &end);
        end
    }

    /// Time that is left for the request.
    fn time_left(&self) -> Duration {
        to_duration(self.ends_at.since(self.front.now()))
    }

    /// Time in which the endpoint must begin a stream. A stream that waits at an engine for
    /// longer would begin on weights that newer ones have replaced for too long.
    fn begin_time(
        &self,
        choice: &EndpointChoice,
    ) -> Duration {
        let front = self.front;
        let (Some(prompt), Some(version)) = (&self.ask.prompt, choice.version) else {
            return self.time_left();
        };
        if !self.route().is_stream {
            return self.time_left();
        }
        let limit = front.settings.execution_limit;
        let state = front.state();
        let planner = &state.planner;
        let left = planner.time_to_expiry(&prompt.model, version, limit, front.now());
        left.map_or(self.time_left(), |left| {
            to_duration(left).min(self.time_left())
        })
    }

    pub(super) fn after_try(
        &mut self,
        choice: &EndpointChoice,
        end: &TryEnd,
    ) {
        match end {
            TryEnd::Delivered(status) => {
                self.judge(choice, true);
                if (200..300).contains(status) {
                    self.note_answered();
                }
            }
            TryEnd::CallerGone => {}
            TryEnd::NotRun => self.log_try(choice, "not-run", ""),
            TryEnd::Failed(answer) => {
                self.judge(choice, false);
                self.log_try(choice, "failed", &answer.status.to_string());
            }
            TryEnd::Broken(failure) => {
                self.judge(choice, false);
                self.log_try(choice, "broken", &format!("{failure:?}"));
            }
        }
    }

    /// Gives a connection that can take another request to the pool.
    pub(super) fn give_back(
        &self,
        choice: &EndpointChoice,
        offer: OpenOffer,
    ) {
        let front = self.front;
        let mut state = front.state();
        if offer.is_kept && self.is_of_life(&state, choice) {
            state
                .pool
                .put(choice.key, offer.link, offer.keeps_for, front.now());
        }
    }
}
