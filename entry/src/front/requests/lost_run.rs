use {
    crate::front::{has_exited, RequestHandler},
    pitchhitch_core::{
        serving::{
            CrashId, EndpointChoice, EndpointKey, EndpointStatus, FingerprintInput,
            RequestFingerprint, SoftwareTag, SuspectCrash,
        },
        time::Micros,
    },
};

/// A crash of the endpoint is attributed to a run only until this time after the run's first event:
/// a request that crashes an endpoint does so when it starts to run.
const CRASH_WINDOW: Micros = Micros::from_millis(1_000);

/// Minimum time between sending a run and a crash that is attributed to it: an endpoint that
/// crashes earlier has hardly parsed the request.
const MIN_RUN_TIME: Micros = Micros::from_millis(15);

/// The latest run of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatestRun {
    /// Endpoint of the run; `None` if the request was not sent.
    pub(crate) endpoint: Option<EndpointKey>,
    /// Number of incarnations of the endpoint that had ended when it was chosen.
    pub(crate) incarnation: u32,
    /// Software of the endpoint, if the endpoint was known.
    pub(crate) software: Option<SoftwareTag>,
    /// Start of its incarnation at that time, if known.
    pub(crate) born: Option<u64>,
    /// Crashes attributed to the request when the endpoint was chosen.
    pub(crate) known_crashes: u32,
    pub(crate) sent_at: Micros,
    pub(crate) first_event_at: Option<Micros>,
}

impl RequestHandler<'_> {
    /// Fingerprint by which the request is recognised when it is sent again.
    pub(crate) fn fingerprint(&mut self) -> RequestFingerprint {
        if let Some(known) = self.cached_fingerprint {
            return known;
        }
        let organisation = self.organisation();
        let fingerprint = RequestFingerprint::of(&FingerprintInput {
            method: &self.request.head.method,
            host: &self.info.host,
            target: &self.request.head.target,
            caller: organisation.map_or("", |organisation| organisation.name.as_str()),
            body: &self.request.body,
        });
        *self.cached_fingerprint.insert(fingerprint)
    }

    /// Records that an endpoint interrupted the request, and whether it exited then.
    pub(crate) async fn record_lost_run(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let front = self.front;
        let lost_at = front.now();
        let has_exited = has_exited(front, choice.key, self.latest_run.incarnation).await;
        let since_first_event = self.latest_run.first_event_at.map(|at| lost_at.since(at));
        let fingerprint = self.fingerprint();
        let is_leaving = {
            let state = front.state();
            let entry = state.registry.get(choice.key);
            entry.is_none_or(|entry| entry.status == EndpointStatus::Leaving)
        };
        let outcome = match (has_exited, is_leaving) {
            (false, _) => "broken",
            (true, true) => "left",
            (true, false)
                if since_first_event
                    .is_some_and(|since_first_event| since_first_event >= CRASH_WINDOW) =>
            {
                "ran"
            }
            (true, false) if lost_at.since(self.latest_run.sent_at) < MIN_RUN_TIME => "new-there",
            (true, false) => "ended",
        };
        self.log_lost_run(choice, outcome, lost_at);
        front.metrics.increment("runs_lost", outcome);
        if outcome == "ended" {
            self.record_crash(choice, fingerprint, lost_at);
        }
    }

    fn log_lost_run(
        &mut self,
        choice: &EndpointChoice,
        outcome: &str,
        lost_at: Micros,
    ) {
        let fingerprint = self.fingerprint().to_string();
        let since_first_event = self
            .latest_run
            .first_event_at
            .map(|at| lost_at.since(at).as_millis() as i64);
        let state = self.front.state();
        let entry = state.registry.get(choice.key);
        log::info!(
            event = "run-lost",
            request = self.info.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            endpoint_is = outcome,
            sent_ms = lost_at.since(self.latest_run.sent_at).as_millis(),
            begun_ms = since_first_event.unwrap_or(-1),
            parts = self.list_parts().as_str();
            ""
        );
    }

    /// Attributes a crash of an endpoint to the request. Without this, a request that crashed every
    /// engine that ran it was sent to 58 engines in 12 s; with it, to 4.
    fn record_crash(
        &self,
        choice: &EndpointChoice,
        fingerprint: RequestFingerprint,
        lost_at: Micros,
    ) {
        let front = self.front;
        let mut guard = front.state();
        let state = &mut *guard;
        let Some(entry) = state.registry.get(choice.key) else {
            return;
        };
        let crash = SuspectCrash {
            mark: CrashId::of(&entry.id, self.latest_run.born),
            sent: self.latest_run.sent_at,
            ended: lost_at,
            known: self.latest_run.known_crashes,
        };
        let had_updates = state.suspects.has_updates();
        if !state.suspects.record_crash(fingerprint, crash) {
            return;
        }
        if !had_updates {
            front.greeting_due.wake();
        }
        if state.suspects.is_blocked(fingerprint, lost_at) {
            front.blocked_row_due.wake();
        }
    }
}
