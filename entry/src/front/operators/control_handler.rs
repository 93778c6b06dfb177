use {
    crate::front::{serve_snapshot, FrontContext},
    pitchhitch_core::serving::{SuspectKey, SuspectStatus},
    pitchhitch_wire::{beacon::BeaconKey, engine_agent::STATE_PATH},
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Path at which a front lists the requests and parts of prompts during which endpoints crashed.
pub(crate) const SUSPECTS_PATH: &str = "/suspects";
/// Prefix of the path that releases one of them. Its fingerprint follows and, if a secret is set,
/// a slash and the keyed hash of the path up to there.
const RELEASE_PREFIX: &str = "/suspects/release/";

/// A request or part of prompts during which endpoints crashed, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectRow {
    pub fingerprint: String,
    /// Its status: `held`, `resting`, `suspect` or `clear`.
    pub standing: String,
    /// Remaining time in this status in milliseconds, if known.
    pub left_ms: Option<u64>,
    /// Number of known crashes of endpoints during it.
    pub crashes: usize,
    /// Time since the last crash in milliseconds.
    pub last_crash_ms: Option<u64>,
}

/// The path that releases a request.
pub(crate) fn release_path(
    fingerprint: &str,
    key: Option<&BeaconKey>,
) -> String {
    let path = format!("{RELEASE_PREFIX}{fingerprint}");
    match key {
        None => path,
        Some(key) => format!("{path}/{}", key.hash(path.as_bytes()).to_hex()),
    }
}

/// Handles control requests of other processes and operators.
pub(crate) fn handle_control(
    front: &FrontContext,
    target: &str,
) -> (u16, Vec<u8>) {
    match target {
        STATE_PATH => serve_snapshot(front, target),
        SUSPECTS_PATH => list_suspects(front),
        _ => match target.strip_prefix(RELEASE_PREFIX) {
            Some(suffix) => release(front, target, suffix),
            None => (404, Vec::new()),
        },
    }
}

/// Lists the suspects, the worst first.
fn list_suspects(front: &FrontContext) -> (u16, Vec<u8>) {
    let now = front.now();
    let state = front.state();
    let reports = state.suspects.reports(now).into_iter();
    let mut suspects: Vec<_> = reports
        .map(|report| (state.suspects.status(report.key, 0.0, now), report))
        .collect();
    suspects.sort_by_key(|(status, _)| Reverse(*status));
    let suspects = suspects.into_iter().map(|(status, report)| {
        let (label, remaining) = match status {
            SuspectStatus::Clear => ("clear", None),
            SuspectStatus::Suspect(_) => ("suspect", None),
            SuspectStatus::BackingOff(remaining) => ("resting", Some(remaining)),
            SuspectStatus::Blocked(remaining) => ("held", Some(remaining)),
        };
        let last = report.crashes.iter().map(|crash| crash.ended).min();
        SuspectRow {
            fingerprint: report.key.to_string(),
            standing: label.to_string(),
            left_ms: remaining.map(|remaining| remaining.as_millis()),
            crashes: report.crashes.len(),
            last_crash_ms: last.map(|age| age.as_millis()),
        }
    });
    match serde_json::to_vec(&suspects.collect::<Vec<SuspectRow>>()) {
        Ok(text) => (200, text),
        Err(_) => (500, Vec::new()),
    }
}

fn release(
    front: &FrontContext,
    target: &str,
    suffix: &str,
) -> (u16, Vec<u8>) {
    let text = suffix.split('/').next().unwrap_or_default();
    let Some(key) = SuspectKey::parse(text) else {
        return (400, b"that is no fingerprint\n".to_vec());
    };
    if target != release_path(text, front.settings.peer_key.as_ref()) {
        return (403, b"the keyed hash is missing or wrong\n".to_vec());
    }
    let now = front.now();
    let is_known = front.state().suspects.release(key, now);
    log::info!(event = "suspect-released", fingerprint = text, known = is_known; "");
    if !is_known {
        return (404, b"nothing is known of it here\n".to_vec());
    }
    front.greeting_due.wake();
    front.blocked_row_due.wake();
    (200, b"let go\n".to_vec())
}
