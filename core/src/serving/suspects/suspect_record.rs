use {
    crate::serving::RequestFingerprint,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Maximum number of crashes stored per request: one more than are needed to block it, as two that
/// different fronts report may count as one.
const MAX_CRASHES: usize = 4;
/// Context of the hash of a crash.
const HASH_CONTEXT: &str = "pitchhitch endpoint crash 1";

/// Identifies the crash of one incarnation of an endpoint: the same for all observers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    /// The crash of the incarnation of an endpoint that started at `born`.
    pub fn of(
        endpoint: &str,
        born: Option<u64>,
    ) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        hasher.update(&born.unwrap_or(0).to_le_bytes());
        hasher.update(endpoint.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        CrashId(u64::from_le_bytes(first))
    }
}

/// A crash of an endpoint while it had a request. Times are on the clock of the process that stores
/// it; in reports they are ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCrash {
    /// Which incarnation of which endpoint crashed.
    pub mark: CrashId,
    /// When the request was sent to it.
    pub sent: Micros,
    /// When it crashed.
    pub ended: Micros,
    /// Number of counted crashes that the front knew of when it sent the request.
    pub known: u32,
}

/// Report of one process to another about a request; all times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Request.
    pub fingerprint: RequestFingerprint,
    /// Crashes during it.
    pub crashes: Vec<SuspectCrash>,
    /// Time since the last complete response.
    pub answered: Option<Micros>,
}

/// Crashes and complete responses of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(in crate::serving) struct SuspectRecord {
    crashes: Vec<SuspectCrash>,
    pub(in crate::serving) answered: Option<Micros>,
    /// Number of crashes that count against the request. A crash counts if the request was sent
    /// after the previous counted one, by a front that knew of all counted ones: only then did it
    /// run without other suspects on the endpoint. Endpoints that crash together or in quick
    /// succession count as one crash, as a request that many callers send runs on all of them.
    /// Crashes up to the last complete response do not count.
    pub(in crate::serving) count: u32,
}

impl SuspectRecord {
    /// Merges a crash; true if it was unknown. A crash that is reported twice counts once.
    pub(in crate::serving) fn merge_crash(
        &mut self,
        crash: SuspectCrash,
    ) -> bool {
        if let Some(stored) = self
            .crashes
            .iter_mut()
            .find(|stored| stored.mark == crash.mark)
        {
            stored.sent = stored.sent.max(crash.sent);
            stored.ended = stored.ended.min(crash.ended);
            stored.known = stored.known.max(crash.known);
            self.count = self.counted_crashes().len() as u32;
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended);
        if self.crashes.len() > MAX_CRASHES {
            let counted_crashes = self.counted_crashes();
            // Crashes that do not count are dropped first, then the oldest.
            let uncounted = self
                .crashes
                .iter()
                .position(|c| !counted_crashes.contains(&c.mark));
            self.crashes.remove(uncounted.unwrap_or(0));
        }
        self.count = self.counted_crashes().len() as u32;
        true
    }

    /// Merges the time of a complete response; true if this clears at least one crash.
    pub(in crate::serving) fn merge_response(
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

    /// When an endpoint last crashed during it.
    pub(in crate::serving) fn last_crash(&self) -> Option<Micros> {
        self.crashes.last().map(|crash| crash.ended)
    }

    /// When the last crash or complete response was recorded.
    pub(in crate::serving) fn last_update(&self) -> Micros {
        let crashed = self.last_crash();
        crashed.max(self.answered).unwrap_or_default()
    }

    /// The record as a report, with ages instead of times.
    pub(in crate::serving) fn report(
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
