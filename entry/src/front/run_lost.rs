use {
    super::{has_ended, RequestRun},
    pitchhitch_core::{
        serving::{
            CrashId, EndpointChoice, EndpointStatus, FingerprintInput, RequestFingerprint,
            SuspectCrash,
        },
        time::Micros,
    },
};

/// Time after its first event from which a run is not taken for what ended its endpoint:
/// what does, does so when it begins.
const RUNS_ON: Micros = Micros::from_millis(1_000);

/// Time that a run must have had before its endpoint ended: what came a moment before has
/// hardly been read.
const HARDLY_THERE: Micros = Micros::from_millis(15);

/// The latest run of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatestRun {
    /// Lives of the endpoint that had ended when it was chosen.
    pub(super) life: u32,
    /// Start of its life then, where known.
    pub(super) born: Option<u64>,
    /// Crashes that counted against the request when it was chosen.
    pub(super) known_crashes: u32,
    pub(super) sent_at: Micros,
    pub(super) began_at: Option<Micros>,
}

impl RequestRun<'_> {
    /// By what the request is known again.
    pub(super) fn fingerprint(&mut self) -> RequestFingerprint {
        if let Some(known) = self.known_as {
            return known;
        }
        let organisation = self.organisation();
        let fingerprint = RequestFingerprint::of(&FingerprintInput {
            method: &self.request.head.method,
            host: &self.ask.host,
            target: &self.request.head.target,
            caller: organisation.map_or("", |organisation| organisation.name.as_str()),
            body: &self.request.body,
        });
        *self.known_as.insert(fingerprint)
    }

    /// Notes that an endpoint broke the request off, and whether it ended then.
    pub(super) async fn note_lost(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let front = self.front;
        let lost_at = front.now();
        let has_ended = has_ended(front, choice.key, self.run.life).await;
        let began = self.run.began_at.map(|at| lost_at.since(at));
        let fingerprint = self.fingerprint();
        let is_leaving = {
            let state = front.state();
            let entry = state.registry.get(choice.key);
            entry.is_none_or(|entry| entry.status == EndpointStatus::Leaving)
        };
        let word = match (has_ended, is_leaving) {
            (false, _) => "broken",
            (true, true) => "left",
            (true, false) if began.is_some_and(|began| began >= RUNS_ON) => "ran",
            (true, false) if lost_at.since(self.run.sent_at) < HARDLY_THERE => "new-there",
            (true, false) => "ended",
        };
        self.log_lost(choice, word, lost_at);
        front.metrics.count("runs_lost", word);
        if word == "ended" {
            self.note_crash(choice, fingerprint, lost_at);
        }
    }

    fn log_lost(
        &mut self,
        choice: &EndpointChoice,
        word: &str,
        lost_at: Micros,
    ) {
        let fingerprint = self.fingerprint().to_string();
        let began = self
            .run
            .began_at
            .map(|at| lost_at.since(at).as_millis() as i64);
        let state = self.front.state();
        let entry = state.registry.get(choice.key);
        log::info!(
            event = "run-lost",
            request = self.ask.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            endpoint_is = word,
            sent_ms = lost_at.since(self.run.sent_at).as_millis(),
            begun_ms = began.unwrap_or(-1);
            ""
        );
    }

    /// Counts the end of an endpoint against the request. Without it one that ended each
    /// engine which ran it was sent to 58 in 12 s, with it to 4.
    fn note_crash(
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
            mark: CrashId::of(&entry.id, self.run.born),
            sent: self.run.sent_at,
            ended: lost_at,
            known: self.run.known_crashes,
        };
        let had_news = state.suspects.has_updates();
        if !state.suspects.record_crash(fingerprint, crash) {
            return;
        }
        if !had_news {
            front.greeting_due.wake();
        }
        if state.suspects.is_held(fingerprint, lost_at) {
            front.held_row_due.wake();
        }
    }
}
