use {
    super::RequestFingerprint,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Crashes of one request that are kept: one more than hold it back, as two that are told
/// by different fronts may count as one.
const MAX_CRASHES: usize = 4;
/// Domain of the hash of a crash.
const DOMAIN: &str = "pitchhitch endpoint crash 1";

/// The end of one life of an endpoint: the same number, whoever saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    /// The end of the life of an endpoint that began then.
    pub fn of(
        endpoint: &str,
        born: Option<u64>,
    ) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
        hasher.update(&born.unwrap_or(0).to_le_bytes());
        hasher.update(endpoint.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        CrashId(u64::from_le_bytes(first))
    }
}

/// An endpoint that ended while it had a request; times are on the clock of who knows it,
/// or ages where it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCrash {
    /// Which life of which endpoint ended.
    pub mark: CrashId,
    /// When the request had been sent to it.
    pub sent: Micros,
    /// When it ended.
    pub ended: Micros,
    /// Crashes that counted_crashes against the request, as far as its sender knew then.
    pub known: u32,
}

/// What one process tells another of a request; all times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Request.
    pub fingerprint: RequestFingerprint,
    /// Endpoints that ended under it.
    pub crashes: Vec<SuspectCrash>,
    /// Time since it was last answered whole.
    pub answered: Option<Micros>,
}

/// What is known of one request under which endpoints ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    crashes: Vec<SuspectCrash>,
    pub(super) answered: Option<Micros>,
    /// Crashes that count: each of a run that was sent after the one before, by a front that
    /// knew of all that count before it. Only such a run was kept apart from other suspects;
    /// endpoints that end together or in quick succession say no more than one of them, as a
    /// request that many ask is at all of them. So does what was sent before it was answered
    /// whole.
    pub(super) count: u32,
}

impl SuspectRecord {
    /// Takes a crash; true where that is news. The same one that is told twice counts once.
    pub(super) fn merge_crash(
        &mut self,
        crash: SuspectCrash,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|k| k.mark == crash.mark) {
            known.sent = known.sent.max(crash.sent);
            known.ended = known.ended.min(crash.ended);
            known.known = known.known.max(crash.known);
            self.count = self.counted_crashes().len() as u32;
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended);
        if self.crashes.len() > MAX_CRASHES {
            let counted_crashes = self.counted_crashes();
            // What ended together with another goes first, then the oldest.
            let spare = self
                .crashes
                .iter()
                .position(|c| !counted_crashes.contains(&c.mark));
            self.crashes.remove(spare.unwrap_or(0));
        }
        self.count = self.counted_crashes().len() as u32;
        true
    }

    /// Takes when it was answered whole; true where that clears it of a crash.
    pub(super) fn merge_answer(
        &mut self,
        answered: Micros,
    ) -> bool {
        let before = self.count;
        self.answered = self.answered.max(Some(answered));
        self.count = self.counted_crashes().len() as u32;
        self.count < before
    }

    fn counted_crashes(&self) -> Vec<CrashId> {
        let mut counted_crashes = Vec::new();
        let mut last: Option<Micros> = None;
        let is_unanswered = |crash: &&SuspectCrash| self.answered.is_none_or(|at| crash.ended > at);
        for crash in self.crashes.iter().filter(is_unanswered) {
            let is_later = last.is_none_or(|ended| crash.sent >= ended);
            if is_later && crash.known >= counted_crashes.len() as u32 {
                counted_crashes.push(crash.mark);
                last = Some(crash.ended);
            }
        }
        counted_crashes
    }

    /// When an endpoint last ended under it.
    pub(super) fn last_crash(&self) -> Option<Micros> {
        self.crashes.last().map(|crash| crash.ended)
    }

    /// When something was last heard of it.
    pub(super) fn last_update(&self) -> Micros {
        let crashed = self.last_crash();
        crashed.max(self.answered).unwrap_or_default()
    }

    /// It as it is told, with ages.
    pub(super) fn report(
        &self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> SuspectReport {
        let aged = |crash: &SuspectCrash| SuspectCrash {
            sent: now.since(crash.sent),
            ended: now.since(crash.ended),
            ..*crash
        };
        SuspectReport {
            fingerprint,
            crashes: self.crashes.iter().map(aged).collect(),
            answered: self.answered.map(|at| now.since(at)),
        }
    }
}
