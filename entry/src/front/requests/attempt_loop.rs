use {
    crate::front::{
        AttemptOutcome, ConnectionReuse, ExchangeFailure, OpenFailure, RequestFailure,
        RequestHandler, SendPermission,
    },
    pitchhitch_core::serving::{AdmissionDecision, EndpointChoice, RefusalKind},
    std::ops::ControlFlow::{self, Break, Continue},
};

/// Why attempts at endpoints end.
enum AttemptsEnd {
    /// The caller has its response, or has closed its connection.
    Finished(ConnectionReuse),
    /// No further attempt is made.
    Failed,
}

impl RequestHandler<'_> {
    /// Makes attempts at one endpoint after the other until the request has ended.
    pub(crate) async fn serve(&mut self) -> ConnectionReuse {
        self.wait_for_state().await;
        let mut failure = RequestFailure::default();
        if !self.find_origin().await {
            failure.kind = RefusalKind::UnknownOrigin;
            return self.finish_failed(failure).await;
        }
        self.wait_for_software().await;
        loop {
            match self.try_next_endpoint(&mut failure).await {
                Continue(()) => {}
                Break(AttemptsEnd::Finished(reuse)) => return reuse,
                Break(AttemptsEnd::Failed) => return self.finish_failed(failure).await,
            }
        }
    }

    /// Makes one attempt, and records in `failure` what the caller receives if it is the last one
    /// and fails.
    async fn try_next_endpoint(
        &mut self,
        failure: &mut RequestFailure,
    ) -> ControlFlow<AttemptsEnd> {
        self.check_permission(failure).await?;
        let Some(choice) = self.choose_endpoint(failure)? else {
            return Continue(());
        };
        if self.is_caller_gone() {
            return Break(AttemptsEnd::Finished(self.finish_abandoned()));
        }
        let mut slot = self.reserve(&choice);
        let mut exchange = match self.open_exchange(&choice, &mut slot).await {
            Ok(exchange) => exchange,
            Err(open_failure) => {
                self.release(&choice, &slot);
                return self.handle_open_failure(&choice, open_failure, failure);
            }
        };
        if self.is_caller_gone() {
            exchange.is_reusable = true;
            self.return_connection(&choice, exchange);
            self.release(&choice, &slot);
            return Break(AttemptsEnd::Finished(self.finish_abandoned()));
        }
        if self.is_stopped() {
            exchange.is_reusable = true;
            self.return_connection(&choice, exchange);
            self.release(&choice, &slot);
            failure.kind = self.late_kind();
            return Break(AttemptsEnd::Failed);
        }
        let (choice, outcome) = self.attempt_with_moves(choice, slot, exchange).await;
        self.tried.push(choice.key);
        self.handle_outcome(&choice, outcome, failure).await
    }

    /// Continues at another endpoint, unless this box can open no connection at all: then the caller
    /// is sent to another box at once.
    fn handle_open_failure(
        &mut self,
        choice: &EndpointChoice,
        open_failure: OpenFailure,
        failure: &mut RequestFailure,
    ) -> ControlFlow<AttemptsEnd> {
        self.tried.push(choice.key);
        if open_failure == OpenFailure::Endpoint {
            return Continue(());
        }
        if self.possible_runs == 0 {
            failure.kind = RefusalKind::Overloaded;
        }
        Break(AttemptsEnd::Failed)
    }

    /// Waits until the request may be sent. Breaks if its time is up, or if it may not be sent.
    async fn check_permission(
        &mut self,
        failure: &mut RequestFailure,
    ) -> ControlFlow<AttemptsEnd> {
        if self.front.now() >= self.deadline() {
            failure.kind = self.late_kind();
            return Break(AttemptsEnd::Failed);
        }
        match self.wait_for_permission().await {
            SendPermission::Granted => Continue(()),
            SendPermission::Refused(kind, delay) => {
                failure.kind = match self.possible_runs {
                    0 => kind,
                    _ => RefusalKind::EndpointLost,
                };
                failure.retry_after = Some(delay).filter(|_| self.possible_runs == 0);
                Break(AttemptsEnd::Failed)
            }
            SendPermission::CallerGone => Break(AttemptsEnd::Finished(self.finish_abandoned())),
        }
    }

    /// Chooses the endpoint of the next attempt. Continues with `None` if another choice is to be
    /// made, and breaks if the request may not be sent to any endpoint.
    fn choose_endpoint(
        &mut self,
        failure: &mut RequestFailure,
    ) -> ControlFlow<AttemptsEnd, Option<EndpointChoice>> {
        // A retry is charged to the budget only if there is an endpoint to send it to.
        let Some(choice) = self.pick() else {
            if self.sends == 0 {
                failure.retry_after = self.limited_retry_after();
                if failure.retry_after.is_some() {
                    failure.kind = RefusalKind::Overloaded;
                }
            }
            return Break(AttemptsEnd::Failed);
        };
        if self.has_left_endpoint && !self.may_fail_over_to(&choice) {
            self.log_attempt(&choice, "failover-limit", "");
            return Break(AttemptsEnd::Failed);
        }
        if self.sends > 0 && !self.acquire_retry() {
            return Break(AttemptsEnd::Failed);
        }
        let decision = self.decide_admission(&choice);
        if decision == AdmissionDecision::Admitted {
            return Continue(Some(choice));
        }
        if self.is_comparison {
            // The endpoints of the other version may have room.
            self.declines_comparison = true;
            return Continue(None);
        }
        self.log_attempt(&choice, decision.as_str(), "");
        if self.possible_runs == 0 {
            failure.kind = RefusalKind::Overloaded;
            failure.decision = Some(decision);
            failure.retry_after = Some(self.retry_after(&choice));
        }
        Break(AttemptsEnd::Failed)
    }

    /// Decides after an attempt whether another one follows.
    async fn handle_outcome(
        &mut self,
        choice: &EndpointChoice,
        outcome: AttemptOutcome,
        failure: &mut RequestFailure,
    ) -> ControlFlow<AttemptsEnd> {
        match outcome {
            AttemptOutcome::Delivered(status) => {
                Break(AttemptsEnd::Finished(self.finish_delivered(status)))
            }
            AttemptOutcome::CallerGone => Break(AttemptsEnd::Finished(self.finish_abandoned())),
            AttemptOutcome::NotRun | AttemptOutcome::Moved(_) => {
                failure.kind = match self.possible_runs {
                    0 => RefusalKind::EndpointRefused,
                    _ => RefusalKind::EndpointLost,
                };
                Continue(())
            }
            AttemptOutcome::Failed(response) => {
                if !self.can_retry() {
                    let reuse = self.deliver_buffered(response).await;
                    return Break(AttemptsEnd::Finished(reuse));
                }
                failure.response = Some(response);
                Continue(())
            }
            AttemptOutcome::Broken(broken) => {
                if broken == ExchangeFailure::Lost {
                    self.record_lost_run(choice).await;
                }
                self.has_left_endpoint |= broken == ExchangeFailure::Unresponsive;
                failure.kind = self.refusal_kind(broken);
                let is_over = matches!(broken, ExchangeFailure::Late | ExchangeFailure::NotBegun);
                let is_final = is_over || !self.can_continue();
                match is_final || !self.can_retry() {
                    true => Break(AttemptsEnd::Failed),
                    false => Continue(()),
                }
            }
        }
    }
}
