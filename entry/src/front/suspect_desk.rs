use {
    super::{serve_snapshot, FrontContext},
    pitchhitch_core::serving::{RequestFingerprint, SuspectStatus},
    pitchhitch_wire::{beacon::BeaconKey, beside::STATE_PATH},
    serde::{Deserialize, Serialize},
};

/// Path at which a front tells of requests under which endpoints ended.
pub(crate) const SUSPECTS_PATH: &str = "/suspects";
/// Beginning of the path at which one is let go: its fingerprint follows and, where a
/// secret is set, a slash and the keyed hash of the path before it.
const RELEASE_PREFIX: &str = "/suspects/release/";

/// One request under which endpoints ended, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectRow {
    /// Fingerprint.
    pub fingerprint: String,
    /// How it stands: `held`, `resting`, `suspect` or `clear`.
    pub standing: String,
    /// Time for which it stays so, in milliseconds, where that is known.
    pub left_ms: Option<u64>,
    /// Ends of endpoints under it that are known.
    pub crashes: usize,
    /// Time since the last one, in milliseconds.
    pub last_crash_ms: Option<u64>,
}

/// The path that lets a request go.
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

/// Answers other processes and operators.
pub(super) fn answer_control(
    front: &FrontContext,
    target: &str,
) -> (u16, Vec<u8>) {
    match target {
        STATE_PATH => serve_snapshot(front, target),
        SUSPECTS_PATH => tell_suspects(front),
        _ => match target.strip_prefix(RELEASE_PREFIX) {
            Some(rest) => release(front, target, rest),
            None => (404, Vec::new()),
        },
    }
}

fn tell_suspects(front: &FrontContext) -> (u16, Vec<u8>) {
    let now = front.now();
    let state = front.state();
    let suspects = state.suspects.reports(now).into_iter().map(|told| {
        let standing = state.suspects.status(told.fingerprint, 0.0, now);
        let (word, left) = match standing {
            SuspectStatus::Clear => ("clear", None),
            SuspectStatus::Suspect(_) => ("suspect", None),
            SuspectStatus::Resting(left) => ("resting", Some(left)),
            SuspectStatus::Held(left) => ("held", Some(left)),
        };
        let last = told.crashes.iter().map(|crash| crash.ended).min();
        SuspectRow {
            fingerprint: told.fingerprint.to_string(),
            standing: word.to_string(),
            left_ms: left.map(|left| left.as_millis()),
            crashes: told.crashes.len(),
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
    rest: &str,
) -> (u16, Vec<u8>) {
    let named = rest.split('/').next().unwrap_or_default();
    let Some(fingerprint) = RequestFingerprint::parse(named) else {
        return (400, b"that is no fingerprint\n".to_vec());
    };
    if target != release_path(named, front.settings.peer_key.as_ref()) {
        return (403, b"the keyed hash is missing or wrong\n".to_vec());
    }
    let now = front.now();
    let is_known = front.state().suspects.release(fingerprint, now);
    log::info!(event = "suspect-released", fingerprint = named, known = is_known; "");
    if !is_known {
        return (404, b"nothing is known of it here\n".to_vec());
    }
    front.greeting_due.wake();
    front.held_row_due.wake();
    (200, b"let go\n".to_vec())
}
