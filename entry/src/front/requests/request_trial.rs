use {
    crate::front::{fnv1a_hash, FrontContext, RequestHandler},
    pitchhitch_core::{
        serving::{unit_fraction, RefusalKind, SuspectKey, SuspectPart, SuspectStatus, TrialKind},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
};

/// Longest wait of a suspect request for an endpoint without other suspects. A run of a suspect is
/// found harmless within half a second, or ends.
const TRIAL_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Wait before a run without other suspects. Another front may just have seen the last one crash: a
/// caller retries elsewhere at once.
const REPORT_TIME: Micros = Micros::from_millis(50);
/// Interval between two checks for such an endpoint.
const POLL_INTERVAL: Micros = Micros::from_millis(10);
/// When the caller of a suspect request that found no such endpoint should retry.
const TRIAL_RETRY_AFTER: Micros = Micros::from_millis(400);

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendPermission {
    Granted,
    /// It may not; the caller may retry after this delay.
    Refused(RefusalKind, Micros),
    /// The caller closed its connection meanwhile.
    CallerGone,
}

/// How a request is tried that is suspected of crashing endpoints, or a part of its prompt is.
#[derive(Debug, Clone)]
pub(crate) struct RequestTrial {
    pub kind: TrialKind,
    /// What is suspected, the request itself or parts of its prompt.
    pub suspects: Vec<SuspectKey>,
    /// The one that is suspected most.
    pub main_suspect: SuspectKey,
}

impl RequestHandler<'_> {
    /// Status of the request with regard to crashes of endpoints, and how it is tried if it is a
    /// suspect. Its fingerprint is computed only while something is tracked.
    fn suspect_status(&mut self) -> SuspectStatus {
        let front = self.front;
        self.trial = None;
        if front.state().suspects.is_empty() {
            return SuspectStatus::Clear;
        }
        let keys = self.suspect_keys();
        let organisation = self.organisation_hash();
        let jitter = unit_fraction(fnv1a_hash(&front.settings.box_id));
        let now = front.now();
        let state = front.state();
        let tracker = &state.suspects;
        let status = tracker.request_status(&keys, organisation, jitter, now);
        let status_of = |key: &SuspectKey| tracker.status(*key, jitter, now);
        let is_suspect = |key: &SuspectKey| status_of(key) != SuspectStatus::Clear;
        let suspects: Vec<SuspectKey> = keys.into_iter().filter(is_suspect).collect();
        let worst = suspects
            .iter()
            .copied()
            .max_by_key(|key| (status_of(key), tracker.crash_count(*key)));
        drop(state);
        let kind = match status {
            SuspectStatus::Suspect(1) if suspects.iter().all(|key| key.is_part()) => {
                TrialKind::Single
            }
            SuspectStatus::Suspect(1) => TrialKind::Paired,
            _ => TrialKind::Exclusive,
        };
        self.trial = worst.map(|main_suspect| RequestTrial {
            kind,
            suspects,
            main_suspect,
        });
        status
    }

    /// Number of crashes that count now against the request and against each part of its prompt.
    pub(crate) fn known_crashes(&mut self) -> Vec<(SuspectKey, u32)> {
        let front = self.front;
        if front.state().suspects.is_empty() {
            return Vec::new();
        }
        let keys = self.suspect_keys();
        let state = front.state();
        let counts = keys
            .into_iter()
            .map(|key| (key, state.suspects.crash_count(key)));
        counts.filter(|(_, crashes)| *crashes > 0).collect()
    }

    /// Waits until the request may be sent. Only a suspect request, during which endpoints have
    /// crashed, has to wait: it runs at an endpoint without other suspects.
    pub(crate) async fn wait_for_permission(&mut self) -> SendPermission {
        let front = self.front;
        let started_at = front.now();
        loop {
            match self.suspect_status() {
                SuspectStatus::Clear => return SendPermission::Granted,
                SuspectStatus::Suspect(_) => {}
                SuspectStatus::BackingOff(remaining) => {
                    self.log_status("resting", remaining);
                    return SendPermission::Refused(RefusalKind::Suspected, remaining);
                }
                SuspectStatus::Blocked(remaining) => {
                    self.log_status("held", remaining);
                    return SendPermission::Refused(RefusalKind::Blocked, remaining);
                }
            }
            let now = front.now();
            if self.may_try(now.since(started_at)) && self.has_trial_endpoint() {
                return SendPermission::Granted;
            }
            if now.since(started_at) >= TRIAL_TIMEOUT || now >= self.deadline() {
                self.log_status("waiting", TRIAL_RETRY_AFTER);
                return SendPermission::Refused(RefusalKind::Suspected, TRIAL_RETRY_AFTER);
            }
            Timer::after(to_duration(POLL_INTERVAL)).await;
            if self.is_caller_gone() {
                return SendPermission::CallerGone;
            }
        }
    }

    /// Whether there is an endpoint for the trial; one that takes any endpoint finds out when it chooses.
    fn has_trial_endpoint(&mut self) -> bool {
        let takes_any = |trial: &RequestTrial| trial.kind == TrialKind::Single;
        self.trial.as_ref().is_none_or(takes_any) || self.pick().is_some()
    }

    /// Whether the run, which has sent events, may be moved: parts during which only one endpoint
    /// crashed are probably harmless, and many prompts have some.
    pub(crate) fn trial_allows_moves(&self) -> bool {
        let trial = self.trial.as_ref();
        trial.is_none_or(|trial| trial.kind == TrialKind::Single)
    }

    /// Whether the trial may begin after this wait: no other run of its suspects may still crash its
    /// endpoint.
    fn may_try(
        &self,
        waited: Micros,
    ) -> bool {
        let Some(trial) = &self.trial else {
            return true;
        };
        let front = self.front;
        let is_active = front
            .state()
            .trials
            .has_active(&trial.suspects, front.now());
        !is_active && (trial.kind != TrialKind::Exclusive || waited >= REPORT_TIME)
    }

    fn log_status(
        &mut self,
        label: &str,
        remaining: Micros,
    ) {
        let fingerprint = self.fingerprint().to_string();
        let suspect = self.trial.as_ref().map(|trial| trial.main_suspect);
        let suspect = suspect.map_or(String::new(), |suspect| suspect.to_string());
        log::info!(
            event = "suspect",
            request = self.info.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            suspect = suspect.as_str(),
            standing = label,
            sends = self.sends,
            left_ms = remaining.as_millis();
            ""
        );
        self.front.metrics.increment("suspects", label);
    }

    /// Records that the response was complete, which shows that neither the request nor a part of its
    /// prompt crashed its endpoint.
    pub(crate) fn record_completed(&mut self) {
        let front = self.front;
        record_proof(front, &self.shared_parts());
        if front.state().suspects.is_empty() {
            return;
        }
        let fingerprint = SuspectKey::Request(self.fingerprint());
        record_harmless(front, fingerprint);
    }
}

/// Records that an endpoint answers a prompt with these parts.
pub(crate) fn record_proof(
    front: &FrontContext,
    parts: &[SuspectPart],
) {
    let now = front.now();
    for part in parts {
        front.state().proven_parts.record(*part, now);
        record_harmless(front, SuspectKey::Part(*part));
    }
}

fn record_harmless(
    front: &FrontContext,
    key: SuspectKey,
) {
    let now = front.now();
    let mut state = front.state();
    let was_blocked = state.suspects.was_blocked(key);
    if !state.suspects.record_response(key, now) {
        return;
    }
    front.metrics.increment("suspects", "cleared");
    if was_blocked {
        // The row of this front may still contain it.
        front.blocked_row_due.wake();
    }
}
