use {
    super::{route, send, EarlierTries, Refusal, RoutedTry, SelectedWork, StartedTry},
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

/// One request on its way to an endpoint, over all its tries.
#[derive(Debug)]
pub struct Dispatch {
    /// What all requests share.
    pub app: Arc<EntryApp>,
    /// The work.
    pub work: SelectedWork,
    tried: Vec<EndpointKey>,
    tries: u32,
    version: Option<String>,
    may_have_run: bool,
}

impl Dispatch {
    /// A request that was not sent anywhere yet.
    pub fn new(
        app: Arc<EntryApp>,
        work: SelectedWork,
    ) -> Self {
        Dispatch {
            app,
            work,
            tried: Vec::new(),
            tries: 0,
            version: None,
            may_have_run: false,
        }
    }

    /// Sends the request, as often as the rules let it, until an endpoint begins to answer.
    ///
    /// `resume_after` names the last event of the answer that the caller has.
    ///
    /// # Errors
    /// [`Refusal`] when no endpoint answers; it says whether the request may have run.
    pub async fn start(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedTry, Refusal> {
        if self.tries == 0 {
            self.app.budget().earn();
        }
        loop {
            if self.app.clock.now() >= self.work.deadline {
                return Err(self.refusal(ErrorKind::DeadlinePassed, "the deadline has passed"));
            }
            self.tries += 1;
            let failed = match self.try_once(resume_after).await {
                Ok(started) => return Ok(started),
                Err(failed) => failed,
            };
            let refusal = failed.into_refusal(self.may_have_run);
            // All that were usable have refused, as in a change of versions: by
            // the next try the view is newer, and any of them may be asked again.
            let all_refused = refusal.kind == ErrorKind::NoneAvailable && !self.tried.is_empty();
            let kind = match all_refused && !self.may_have_run {
                true => ErrorKind::EndpointFull,
                false => refusal.kind,
            };
            if all_refused {
                self.tried.clear();
            }
            if !self.may_try_again(kind) {
                return Err(refusal);
            }
            self.app.metrics.count("request.retried", 1);
            self.pause().await;
        }
    }

    async fn try_once(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedTry, TryFailure> {
        let view = self.app.view.load_full();
        let earlier = EarlierTries {
            tried: &self.tried,
            attempt: self.tries,
            pinned_version: self.version.as_deref(),
        };
        let routed = route(&self.app, &view, &self.work, earlier).map_err(TryFailure::Unrouted)?;
        self.note_routed(&view, &routed);
        let endpoint = routed.choice.endpoint;
        match send(&self.app, &view, &self.work, &routed, resume_after).await {
            Ok(started) => {
                self.tried.push(endpoint);
                self.version = Some(routed.version);
                Ok(started)
            }
            Err(kind) => {
                self.tried.push(endpoint);
                self.app
                    .ring
                    .record_outcome(&self.work.request.id, kind.response().code);
                self.may_have_run |= kind.run_state() == RunState::Unknown;
                Err(TryFailure::Sent(kind))
            }
        }
    }

    fn note_routed(
        &self,
        view: &TrafficView,
        routed: &RoutedTry,
    ) {
        if let Some(state) = view.table.endpoints.get(routed.choice.endpoint) {
            self.app.control.tell(EntryEvent::Routed {
                endpoint_id: state.id.clone(),
                pieces: routed.pieces.clone(),
            });
        }
    }

    /// Whether another try is allowed, by the rules and by the budget.
    pub fn may_try_again(
        &mut self,
        kind: ErrorKind,
    ) -> bool {
        let step = decide_retry(&FailedAttempt {
            kind,
            repeatable: self.work.repeatable,
            attempts: self.tries,
            deadline: self.work.deadline,
            now: self.app.clock.now(),
        });
        step == RetryStep::RetryElsewhere && self.app.budget().spend()
    }

    /// The caller has the beginning of its answer in time; to go on after a break
    /// there is the time that a beginning has.
    pub fn renew_deadline(&mut self) {
        self.work.deadline = self.app.clock.now() + self.app.settings.default_deadline;
    }

    /// Notes that an answer broke off after it began.
    pub fn broke_off(
        &mut self,
        kind: ErrorKind,
    ) {
        self.may_have_run = true;
        self.app
            .ring
            .record_outcome(&self.work.request.id, kind.response().code);
    }

    fn refusal(
        &self,
        kind: ErrorKind,
        detail: &str,
    ) -> Refusal {
        let mut refusal = Refusal::new(kind, detail);
        refusal.ran_before = self.may_have_run;
        refusal
    }

    async fn pause(&self) {
        let mut random = Pcg32::seed_from_u64(self.work.request.number);
        let pause = BackoffPolicy::LINK.delay(self.tries, &mut random);
        let left = self.work.deadline.since(self.app.clock.now());
        Timer::after(Duration::from_micros(pause.0.min(left.0))).await;
    }
}

enum TryFailure {
    Unrouted(Refusal),
    Sent(ErrorKind),
}

impl TryFailure {
    fn into_refusal(
        self,
        may_have_run: bool,
    ) -> Refusal {
        let mut refusal = match self {
            TryFailure::Unrouted(refusal) => refusal,
            TryFailure::Sent(kind) => {
                let detail = match kind.run_state() {
                    RunState::NotRun => "no endpoint took the request",
                    RunState::Unknown => "the endpoint was lost after the request was sent",
                };
                Refusal::new(kind, detail)
            }
        };
        refusal.ran_before |= may_have_run;
        refusal
    }
}
