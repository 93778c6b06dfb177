use {
    crate::front::{has_exited, RequestHandler},
    pitchhitch_core::{
        serving::{
            organisation_hash, CrashId, EndpointChoice, EndpointKey, EndpointStatus,
            FingerprintInput, RequestFingerprint, SoftwareTag, SuspectCrash, SuspectKey,
            SuspectPart,
        },
        time::Micros,
    },
};

/// A crash of the endpoint is attributed to a run only until this time after the run's first event:
/// a request that crashes an endpoint does so when it starts to run. One that runs on is harmless.
pub(crate) const CRASH_WINDOW: Micros = Micros::from_millis(1_000);

/// Minimum time between sending a run and a crash that is attributed to it: an endpoint that
/// crashes earlier has hardly parsed the request.
const MIN_RUN_TIME: Micros = Micros::from_millis(15);

/// A part that was answered within this time before a crash is not a suspect in it.
const FRESH_PROOF_TIME: Micros = Micros::from_secs(3);

/// The latest run of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatestRun {
    /// Endpoint of the run; `None` if the request was not sent.
    pub(crate) endpoint: Option<EndpointKey>,
    /// Number of incarnations of the endpoint that had ended when it was chosen.
    pub(crate) incarnation: u32,
    /// Software of the endpoint, if the endpoint was known.
    pub(crate) software: Option<SoftwareTag>,
    /// Start of its incarnation at that time, if known.
    pub(crate) born: Option<u64>,
    /// Crashes that counted against the request and its parts when the endpoint was chosen; none of
    /// those that are not in the list.
    pub(crate) known_crashes: Vec<(SuspectKey, u32)>,
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

    /// The parts of the prompt that other requests share.
    pub(crate) fn shared_parts(&self) -> Vec<SuspectPart> {
        let Some(prompt) = &self.info.prompt else {
            return Vec::new();
        };
        let shared = prompt.parts.len().saturating_sub(1);
        let parts = prompt.parts[..shared].iter();
        parts
            .map(|part| SuspectPart::of(&prompt.model, part.id))
            .collect()
    }

    /// All that may crash the endpoints of the request.
    pub(crate) fn suspect_keys(&mut self) -> Vec<SuspectKey> {
        let parts = self.shared_parts().into_iter().map(SuspectKey::Part);
        let mut keys: Vec<SuspectKey> = parts.collect();
        keys.push(SuspectKey::Request(self.fingerprint()));
        keys
    }

    /// Hash of the organisation; 0 if there is none.
    pub(crate) fn organisation_hash(&self) -> u32 {
        let organisation = self.organisation();
        organisation.map_or(0, |organisation| organisation_hash(&organisation.name))
    }

    /// Records that an endpoint interrupted the request, and whether it exited then.
    pub(crate) async fn record_lost_run(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let front = self.front;
        let lost_at = front.now();
        let latest_run = &self.latest_run;
        let (incarnation, sent_at) = (latest_run.incarnation, latest_run.sent_at);
        let has_exited = has_exited(front, choice.key, incarnation, sent_at).await;
        let since_first_event = self.latest_run.first_event_at.map(|at| lost_at.since(at));
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
            self.record_crash(choice, lost_at);
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

    /// Attributes a crash of an endpoint to the request and to its parts. Without this, a request
    /// that crashed every engine that ran it was sent to 58 engines in 12 s; with it, to 4.
    fn record_crash(
        &mut self,
        choice: &EndpointChoice,
        lost_at: Micros,
    ) {
        let front = self.front;
        let keys = self.suspect_keys();
        let organisation = self.organisation_hash();
        let request = self.fingerprint().low_bits();
        let mut guard = front.state();
        let state = &mut *guard;
        let Some(entry) = state.registry.get(choice.key) else {
            return;
        };
        let mark = CrashId::of(&entry.id, self.latest_run.born);
        let had_updates = state.suspects.has_updates();
        for key in keys {
            let proven_at = state.part_proof(key, lost_at);
            if proven_at.is_some_and(|at| lost_at.since(at) < FRESH_PROOF_TIME) {
                continue;
            }
            let mut known_crashes = self.latest_run.known_crashes.iter();
            let known = known_crashes.find(|(known_key, _)| *known_key == key);
            let crash = SuspectCrash {
                mark,
                organisation,
                request,
                sent: self.latest_run.sent_at,
                ended: lost_at,
                known: known.map_or(0, |(_, crashes)| *crashes),
            };
            if !state.suspects.record_crash(key, crash) {
                continue;
            }
            if let Some(at) = proven_at {
                state.suspects.record_response(key, at);
            }
            if state.suspects.is_blocked(key, lost_at) {
                front.blocked_row_due.wake();
            }
        }
        if !had_updates && state.suspects.has_updates() {
            front.greeting_due.wake();
        }
    }
}
