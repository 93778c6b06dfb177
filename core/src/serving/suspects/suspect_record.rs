use {
    super::suspect_key::SuspectKey,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Successive crashes after which a suspect is blocked: one that may be a coincidence, and two
/// while it ran without other suspects on the endpoint. Each crash takes down the endpoint and
/// everything that runs there for seconds.
pub(in crate::serving) const CRASHES_TO_BLOCK: u32 = 3;
/// Crashes that a recent complete response outweighs: they probably have another cause.
const RESPONSE_WEIGHT: u32 = 2;
/// Time for which a complete response speaks for a suspect.
pub(in crate::serving) const CLEARED_FOR: Micros = Micros::from_secs(20);
/// Time for which a request is blocked after its last crash, and for which crashes are remembered:
/// otherwise a caller that retries rarely would crash an endpoint each time.
pub(in crate::serving) const BLOCK_DURATION: Micros = Micros::from_secs(600);
/// Complete responses per crash that show that endpoints crash during a suspect for other reasons. Once
/// it is blocked nothing else could clear it, so it is tried again.
const RESPONSES_PER_CRASH: u32 = 10;
/// Times for which such a suspect is blocked, after the crash that blocks it and after the next one.
const SHORT_BLOCKS: [Micros; 2] = [Micros::from_secs(10), Micros::from_secs(60)];
/// Maximum number of crashes stored per suspect: one more than are needed to block one that was
/// answered recently, as two that different fronts report may count as one.
const MAX_CRASHES: usize = 6;
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

/// A crash of an endpoint while it ran a suspect. Times are on the clock of the process that observed
/// it, or of the tracker that stores it; in reports they are ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCrash {
    /// Which incarnation of which endpoint crashed.
    pub mark: CrashId,
    /// Hash of the organisation whose run it was; 0 if it has none.
    pub organisation: u32,
    /// Hash of the request whose run it was.
    pub request: u64,
    /// When the run was sent to it.
    pub sent: Micros,
    /// When it crashed.
    pub ended: Micros,
    /// Number of counted crashes that the front knew of when it sent the run.
    pub known: u32,
}

/// Report of one process to another about a suspect; all times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Suspect.
    pub key: SuspectKey,
    /// Crashes during it.
    pub crashes: Vec<SuspectCrash>,
    /// Time since the last complete response.
    pub answered: Option<Micros>,
}

/// Crashes and complete responses of one suspect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(in crate::serving) struct SuspectRecord {
    /// Whether the suspect is a part of prompts.
    is_part: bool,
    crashes: Vec<SuspectCrash>,
    /// Number of all crashes, including those that are no longer stored.
    all_crashes: u32,
    /// Complete responses that this process has received since the first crash.
    own_responses: u32,
    pub(in crate::serving) answered: Option<Micros>,
    /// Number of crashes that count against the suspect. A crash counts if the run was sent after
    /// the previous counted one, by a front that knew of all counted ones: only then did it run
    /// without other suspects on the endpoint. Endpoints that crash together or in quick succession
    /// count as one crash, as a request that many callers send runs on all of them. Crashes up to
    /// the last complete response do not count. Against a part of prompts, several crashes of the
    /// same request count as one, as the request itself explains them.
    pub(in crate::serving) count: u32,
}

impl SuspectRecord {
    /// Record of a suspect without crashes.
    pub(in crate::serving) fn of(key: SuspectKey) -> Self {
        SuspectRecord {
            is_part: key.is_part(),
            ..SuspectRecord::default()
        }
    }

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
            stored.organisation = stored.organisation.min(crash.organisation);
            stored.request = stored.request.min(crash.request);
            self.count = self.counted_crashes().len() as u32;
            return false;
        }
        self.all_crashes = self.all_crashes.saturating_add(1);
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

    /// Records a complete response that this process has received; true as for `merge_response`.
    pub(in crate::serving) fn record_response(
        &mut self,
        answered: Micros,
    ) -> bool {
        self.own_responses = self.own_responses.saturating_add(1);
        self.merge_response(answered)
    }

    /// Merges the time of a complete response; true if this clears at least one crash, or is the
    /// first response of a suspect.
    pub(in crate::serving) fn merge_response(
        &mut self,
        answered: Micros,
    ) -> bool {
        let before = self.count;
        let is_first = self.answered.is_none();
        self.answered = self.answered.max(Some(answered));
        self.count = self.counted_crashes().len() as u32;
        self.count < before || (is_first && self.count > 0)
    }

    /// Whether its crashes concern the runs of an organisation: its own runs crashed endpoints, or
    /// those of two others, of which neither can discredit what it does not send itself.
    pub(in crate::serving) fn concerns(
        &self,
        organisation: u32,
    ) -> bool {
        let mut crashes = self.crashes.iter();
        let Some(first) = crashes.next().map(|crash| crash.organisation) else {
            return false;
        };
        first == organisation || crashes.any(|crash| crash.organisation != first)
    }

    /// Whether it was on an endpoint that crashed.
    pub(in crate::serving) fn has_crash(
        &self,
        mark: CrashId,
    ) -> bool {
        self.crashes.iter().any(|crash| crash.mark == mark)
    }

    /// The crashes that count.
    pub(in crate::serving) fn counted_crashes(&self) -> Vec<CrashId> {
        let mut counted: Vec<&SuspectCrash> = Vec::new();
        let is_unanswered = |crash: &&SuspectCrash| self.answered.is_none_or(|at| crash.ended > at);
        for crash in self.crashes.iter().filter(is_unanswered) {
            let is_later = counted.last().is_none_or(|last| crash.sent >= last.ended);
            let is_informed = crash.known >= counted.len() as u32;
            let is_repeated = counted.iter().any(|other| other.request == crash.request);
            if is_later && is_informed && !(self.is_part && is_repeated) {
                counted.push(crash);
            }
        }
        counted.iter().map(|crash| crash.mark).collect()
    }

    /// Crashes that a complete response outweighs at a time.
    pub(in crate::serving) fn response_weight(
        &self,
        at: Micros,
    ) -> u32 {
        let is_recent = |answered: Micros| at.since(answered) < CLEARED_FOR;
        match self.answered.is_some_and(is_recent) {
            true => RESPONSE_WEIGHT,
            false => 0,
        }
    }

    /// How long it is blocked after its last crash; `None` if it is not. A response is weighed as of
    /// that crash, as it is not sent often enough afterwards to be answered again.
    pub(in crate::serving) fn block_duration(&self) -> Option<Micros> {
        let weight = self.response_weight(self.last_crash()?);
        let surplus = self.count.checked_sub(CRASHES_TO_BLOCK + weight)?;
        let is_often_answered = self.own_responses / RESPONSES_PER_CRASH >= self.all_crashes;
        let short = SHORT_BLOCKS.get(surplus as usize).copied();
        let short = short.filter(|_| is_often_answered);
        Some(short.unwrap_or(BLOCK_DURATION))
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
        key: SuspectKey,
        now: Micros,
    ) -> SuspectReport {
        let aged = |crash: &SuspectCrash| SuspectCrash {
            sent: now.since(crash.sent),
            ended: now.since(crash.ended),
            ..*crash
        };
        SuspectReport {
            key,
            crashes: self.crashes.iter().map(aged).collect(),
            answered: self.answered.map(|at| now.since(at)),
        }
    }
}
