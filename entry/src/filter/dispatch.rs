use {
    super::{route, send, ParsedRequest, PreviousAttempts, Refusal, RoutedAttempt, StartedAttempt},
    crate::traffic::{EntryApp, TrafficView},
    pitchhitch_core::{
        errors::{ErrorKind, RunState},
        retry::{decide_retry, BackoffPolicy, FailedAttempt, RetryStep},
        role::EntryEvent,
        route::EndpointKey,
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// One request and the state of all attempts to serve it.
#[derive(Debug)]
pub struct Dispatch {
    /// State shared by all requests.
    pub app: Arc<EntryApp>,
    /// The request.
    pub parsed: ParsedRequest,
    tried: Vec<EndpointKey>,
    attempts: u32,
    pinned_version: Option<String>,
    may_have_run: bool,
}

impl Dispatch {
    /// A request without any attempt yet.
    pub fn new(
        app: Arc<EntryApp>,
        parsed: ParsedRequest,
    ) -> Self {
        Dispatch {
            app,
            parsed,
            tried: Vec::new(),
            attempts: 0,
            pinned_version: None,
            may_have_run: false,
        }
    }

    /// Sends the request until an endpoint begins to respond or no retry is allowed.
    ///
    /// `resume_after` is the id of the last event that the caller has received.
    ///
    /// # Errors
    /// [`Refusal`] when no endpoint responds; it states whether the request may have run.
    pub async fn start(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedAttempt, Refusal> {
        if self.attempts == 0 {
            self.app.retry_budget().earn();
        }
        loop {
            if self.app.clock.now() >= self.parsed.deadline {
                return Err(self.refusal(ErrorKind::DeadlinePassed, "the deadline has passed"));
            }
            self.attempts += 1;
            let failed = match self.attempt_once(resume_after).await {
                Ok(started) => return Ok(started),
                Err(failed) => failed,
            };
            let refusal = failed.into_refusal(self.may_have_run);
            // All usable endpoints have refused, as happens during a version change.
            // `NoneAvailable` is never retried, so the retry is decided as for full endpoints. The
            // view is newer at the next attempt, so each endpoint may be tried again.
            let all_refused = refusal.kind == ErrorKind::NoneAvailable && !self.tried.is_empty();
            let kind = match all_refused && !self.may_have_run {
                true => ErrorKind::EndpointFull,
                false => refusal.kind,
            };
            if all_refused {
                self.tried.clear();
            }
            if !self.may_retry(kind) {
                return Err(refusal);
            }
            self.app.metrics.count("request.retried", 1);
            self.wait_backoff().await;
        }
    }

    async fn attempt_once(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedAttempt, AttemptError> {
        let view = self.app.view.load_full();
        let previous = PreviousAttempts {
            tried: &self.tried,
            attempt: self.attempts,
            pinned_version: self.pinned_version.as_deref(),
        };
        let routed =
            route(&self.app, &view, &self.parsed, previous).map_err(AttemptError::Routing)?;
        self.report_routed(&view, &routed);
        let endpoint = routed.choice.endpoint;
        match send(&self.app, &view, &self.parsed, &routed, resume_after).await {
            Ok(started) => {
                self.tried.push(endpoint);
                self.pinned_version = Some(routed.version);
                Ok(started)
            }
            Err(kind) => {
                self.tried.push(endpoint);
                self.app
                    .decisions
                    .record_outcome(&self.parsed.request.id, kind.response().code);
                self.may_have_run |= kind.run_state() == RunState::Unknown;
                Err(AttemptError::Sending(kind))
            }
        }
    }

    fn report_routed(
        &self,
        view: &TrafficView,
        routed: &RoutedAttempt,
    ) {
        if let Some(state) = view.table.endpoints.get(routed.choice.endpoint) {
            self.app.control.send_event(EntryEvent::Routed {
                endpoint_id: state.id.clone(),
                pieces: routed.pieces.clone(),
            });
        }
    }

    /// Whether the retry rules and the retry budget allow another attempt; an allowed
    /// attempt is charged to the budget.
    pub fn may_retry(
        &mut self,
        kind: ErrorKind,
    ) -> bool {
        let step = decide_retry(&FailedAttempt {
            kind,
            repeatable: self.parsed.repeatable,
            attempts: self.attempts,
            deadline: self.parsed.deadline,
            now: self.app.clock.now(),
        });
        step == RetryStep::RetryElsewhere && self.app.retry_budget().spend()
    }

    /// Restarts the deadline, which only covers the beginning of a response: the caller received
    /// that in time, and a resumed response has the default time to begin again.
    pub fn renew_deadline(&mut self) {
        self.parsed.deadline = self.app.clock.now() + self.app.settings.default_deadline;
    }

    /// Records that the response was interrupted after it began.
    pub fn record_interrupted(
        &mut self,
        kind: ErrorKind,
    ) {
        self.may_have_run = true;
        self.app
            .decisions
            .record_outcome(&self.parsed.request.id, kind.response().code);
    }

    fn refusal(
        &self,
        kind: ErrorKind,
        detail: &str,
    ) -> Refusal {
        let mut refusal = Refusal::new(kind, detail);
        refusal.may_have_run = self.may_have_run;
        refusal
    }

    async fn wait_backoff(&self) {
        let mut random = Pcg32::seed_from_u64(self.parsed.request.number);
        let backoff = BackoffPolicy::LINK.delay(self.attempts, &mut random);
        let time_left = self.parsed.deadline.since(self.app.clock.now());
        Timer::after(Duration::from_micros(backoff.0.min(time_left.0))).await;
    }
}

enum AttemptError {
    Routing(Refusal),
    Sending(ErrorKind),
}

impl AttemptError {
    fn into_refusal(
        self,
        may_have_run: bool,
    ) -> Refusal {
        let mut refusal = match self {
            AttemptError::Routing(refusal) => refusal,
            AttemptError::Sending(kind) => {
                let detail = match kind.run_state() {
                    RunState::NotRun => "no endpoint took the request",
                    RunState::Unknown => "the endpoint was lost after the request was sent",
                };
                Refusal::new(kind, detail)
            }
        };
        refusal.may_have_run |= may_have_run;
        refusal
    }
}
