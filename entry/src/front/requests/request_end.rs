use {
    crate::front::{
        refuse, write_to_caller, BufferedResponse, ConnectionReuse, ExchangeFailure,
        RequestHandler, RequestRefusal, RequestStage,
    },
    pitchhitch_core::{
        serving::{AdmissionDecision, RefusalKind},
        time::Micros,
    },
};

/// What the caller receives if no further attempt is made.
pub(crate) struct RequestFailure {
    /// Reason of the refusal.
    pub(crate) kind: RefusalKind,
    /// Delay after which the caller should retry; `None` for the default of `kind`.
    pub(crate) retry_after: Option<Micros>,
    /// Decision on a prompt that is refused because of load.
    pub(crate) decision: Option<AdmissionDecision>,
    /// Server error of an endpoint, which the caller receives instead of a refusal.
    pub(crate) response: Option<BufferedResponse>,
}

impl Default for RequestFailure {
    fn default() -> Self {
        RequestFailure {
            kind: RefusalKind::NoEndpoint,
            retry_after: None,
            decision: None,
            response: None,
        }
    }
}

impl RequestHandler<'_> {
    /// Ends a request for which no further attempt is made.
    pub(crate) async fn finish_failed(
        &mut self,
        failure: RequestFailure,
    ) -> ConnectionReuse {
        if self.progress.is_head_sent {
            // The connection is closed, so that the caller sees that the stream is truncated.
            let cause = match self.is_stopped() {
                true => "stop",
                false => failure.kind.response().code,
            };
            self.log_end("cut", cause, 0);
            return ConnectionReuse::Close;
        }
        if let Some(response) = failure.response {
            return self.deliver_buffered(response).await;
        }
        let refusal = RequestRefusal {
            kind: failure.kind,
            retry_after: failure.retry_after,
            closes: self.closes(),
            arrived_at: self.request.arrived_at,
            sends: self.sends,
            decision: failure.decision,
        };
        self.entry.set_stage(RequestStage::Begun);
        refuse(self.front, self.caller, &self.info, refusal).await
    }

    /// Ends a request whose caller has closed its connection, or has not read the response in time.
    pub(crate) fn finish_abandoned(&self) -> ConnectionReuse {
        let is_late = self.front.now() >= self.deadline;
        let (outcome, cause) = match (self.is_stopped(), is_late) {
            (true, _) => ("cut", "stop"),
            (false, true) => ("cut", RefusalKind::TimedOut.response().code),
            (false, false) => ("caller-gone", ""),
        };
        self.log_end(outcome, cause, 0);
        ConnectionReuse::Close
    }

    /// Reason of the refusal after a broken exchange.
    pub(crate) fn refusal_kind(
        &self,
        failure: ExchangeFailure,
    ) -> RefusalKind {
        match failure {
            ExchangeFailure::NotSent if self.possible_runs == 0 => RefusalKind::EndpointRefused,
            ExchangeFailure::Late => self.late_kind(),
            ExchangeFailure::NotBegun => RefusalKind::TimedOut,
            ExchangeFailure::Garbled => RefusalKind::BadAnswer,
            ExchangeFailure::NotSent
            | ExchangeFailure::Lost
            | ExchangeFailure::Unresponsive
            | ExchangeFailure::Overdue
            | ExchangeFailure::CallerGone => RefusalKind::EndpointLost,
        }
    }

    /// Reason of the refusal when no time is left.
    pub(crate) fn late_kind(&self) -> RefusalKind {
        match (self.is_stopped(), self.possible_runs) {
            (true, 0) => RefusalKind::Stopping,
            (true, _) => RefusalKind::Stopped,
            (false, 0) => RefusalKind::NeverSent,
            (false, _) => RefusalKind::TimedOut,
        }
    }

    /// Sends the complete response of an endpoint to the caller.
    pub(crate) async fn deliver_buffered(
        &mut self,
        response: BufferedResponse,
    ) -> ConnectionReuse {
        match self.write_buffered(&response).await {
            true => self.finish_delivered(response.status),
            false => self.finish_abandoned(),
        }
    }

    /// Writes a complete response to the caller; true if everything was written.
    pub(crate) async fn write_buffered(
        &mut self,
        response: &BufferedResponse,
    ) -> bool {
        self.progress.is_head_sent = true;
        self.set_stage(RequestStage::Begun);
        write_to_caller(self.caller, &response.bytes, &mut self.timer).await
    }

    /// Records how long it took from when it was read: a stream may have been moved, or tried at
    /// several endpoints.
    fn record_run_time(&self) {
        let now = self.front.now();
        let run_times = &mut self.front.state().run_times;
        run_times.record(&self.route().name, now.since(self.read_at), now);
    }

    /// Ends a request whose caller has received the complete response.
    pub(crate) fn finish_delivered(
        &self,
        status: u16,
    ) -> ConnectionReuse {
        self.log_end("answered", "", status);
        if (200..300).contains(&status) {
            self.record_run_time();
        }
        match self.progress.closes || self.close_requested {
            true => ConnectionReuse::Close,
            false => ConnectionReuse::KeepAlive,
        }
    }
}
