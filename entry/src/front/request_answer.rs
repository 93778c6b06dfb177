use {
    super::{
        read_plain_answer, read_rest, relay_stream, write_to_caller, OfferAnswer, OfferFailure,
        OpenOffer, RelayNews, RequestRun, TryEnd,
    },
    pitchhitch_core::{serving::EndpointChoice, time::Micros},
    pitchhitch_http1::BodyFraming,
    pitchhitch_process::to_duration,
};

impl RequestRun<'_> {
    /// Takes what an endpoint answers to its end.
    pub(super) async fn take_answer(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
        offer: &mut OpenOffer,
        answer: OfferAnswer,
    ) -> TryEnd {
        if let (Some(version), Some(prompt)) = (answer.marks.version, &self.ask.prompt) {
            self.learn_version(choice, &prompt.model.clone(), version);
        }
        if answer.marks.is_not_run {
            self.may_have_run -= 1;
            self.learn_refusal(choice, &answer);
            return self.pass_over(offer, &answer).await;
        }
        let is_success = (200..300).contains(&answer.head.status);
        let is_own = answer.marks.is_signed && !answer.marks.is_encoded;
        if is_success && !is_own {
            return TryEnd::Broken(OfferFailure::Garbled);
        }
        if is_success && self.route().is_stream {
            return self
                .take_stream(choice, ticket, sent_at, offer, &answer)
                .await;
        }
        if self.progress.is_begun {
            return TryEnd::Broken(OfferFailure::Lost);
        }
        let has_no_body = self.request.head.method == "HEAD";
        let closes = self.closes();
        let caller = &mut *self.caller;
        let whole =
            read_plain_answer(offer, &answer, has_no_body, closes, caller, &mut self.timer).await;
        match whole {
            Ok(whole) => {
                self.progress.closes = closes;
                self.keep_link(offer, &answer);
                if whole.status >= 500 {
                    return TryEnd::Failed(whole);
                }
                self.began_at = Some(self.front.now());
                match write_to_caller(self.caller, &whole.bytes, &mut self.timer).await {
                    true => TryEnd::Delivered(whole.status),
                    false => TryEnd::CallerGone,
                }
            }
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        }
    }

    pub(super) async fn take_stream(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        sent_at: Micros,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) -> TryEnd {
        let front = self.front;
        let is_prompt = self.ask.prompt.is_some() && !self.progress.is_begun;
        let to_read = choice.ahead_tokens + f64::from(choice.prefill_tokens);
        let is_first = is_prompt && self.sends == 1;
        let mut began = None;
        let mut version = None;
        let mut tell = |news| match news {
            RelayNews::Begun => {
                let now = front.now();
                began = Some(now);
                let mut state = front.state();
                state.registry.record_first_token(choice.key, ticket);
                state.trials.record_first_event(ticket, now);
                if is_first {
                    let took = now.since(sent_at).as_millis() as f64;
                    state
                        .latency_estimator
                        .record_first_token(to_read, took - choice.plan.fetch_ms);
                }
            }
            RelayNews::Version(new) => version = Some(new),
        };
        self.progress.splitter.drop_rest();
        if !self.progress.is_begun {
            self.progress.closes = self.closes();
        }
        let caller = &mut *self.caller;
        let progress = &mut self.progress;
        let ends_at = self.ends_at;
        let left = || to_duration(ends_at.since(front.now()));
        let timer = &mut self.timer;
        let end = relay_stream(offer, answer, progress, caller, timer, &left, &mut tell).await;
        self.run.began_at = began;
        self.began_at = self.began_at.or(began);
        if let (Some(version), Some(prompt)) = (version, &self.ask.prompt) {
            self.learn_version(choice, &prompt.model.clone(), version);
        }
        match end {
            Ok(()) => {
                self.keep_link(offer, answer);
                TryEnd::Delivered(answer.head.status)
            }
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        }
    }

    pub(super) async fn pass_over(
        &mut self,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) -> TryEnd {
        let mut body = Vec::new();
        let caller = &mut *self.caller;
        let rest = read_rest(
            offer,
            answer.framing,
            &mut body,
            usize::MAX,
            caller,
            &mut self.timer,
        );
        match rest.await {
            Ok(()) => self.keep_link(offer, answer),
            Err(OfferFailure::CallerGone) => return TryEnd::CallerGone,
            // The proof has come; only the connection is of no more use.
            Err(_) => {}
        }
        TryEnd::NotRun
    }

    /// Keeps the connection for the next request, where nothing is left on it.
    pub(super) fn keep_link(
        &self,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) {
        let is_over = offer.is_sent_whole && offer.link.unused().is_empty();
        let ends = answer.marks.closes || answer.framing == BodyFraming::UntilClose;
        if !is_over || ends {
            return;
        }
        offer.is_kept = true;
        offer.keeps_for = answer.marks.keeps_for;
    }
}
