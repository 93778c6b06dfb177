use {
    super::{suspect_record::SuspectRecord, RequestFingerprint, SuspectCrash, SuspectReport},
    crate::time::Micros,
    std::collections::{BTreeMap, BTreeSet},
};

/// Crashes, one after the other, after which a request is held back: with the one in which
/// it may be by chance, and two in which it ran apart from other suspects. Each takes the
/// endpoint, and all that runs there, away for seconds.
const HELD_AFTER: u32 = 3;
/// Time after the second crash until it may be tried once more; endpoints are back by then.
/// Fronts wait up to twice as long, each for a part of its own, so that the first one's try
/// is known to the others.
const RETRY_DELAY: Micros = Micros::from_millis(1_000);
/// Time for which a request is held back after its last crash, and for which crashes are
/// remembered: callers that come again seldom would end an endpoint each time.
const HELD_FOR: Micros = Micros::from_secs(600);
/// Time for which a whole answer proves that a request ends nothing: crashes meanwhile
/// have another cause.
const CLEARED_FOR: Micros = Micros::from_secs(20);
/// Requests that are remembered. Up to a hundred are at an endpoint that ends; those that
/// are answered are dropped soon.
const MAX_RECORDS: usize = 1_024;
/// Times that news is told, to others each time: datagrams may get lost.
const SEND_ROUNDS: u8 = 2;

/// How a request stands with the crashes of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Nothing speaks against it.
    Clear,
    /// So many endpoints ended while they had it: it runs apart from others of its kind.
    Suspect(u32),
    /// It is not tried for so long.
    Resting(Micros),
    /// It is held back for so long.
    Held(Micros),
}

/// Requests under which endpoints ended.
///
/// Only who began to run at an endpoint that ended is in here, and leaves with a whole
/// answer. What several fronts know adds up, in whatever order and how often it is told.
#[derive(Debug, Clone, Default)]
pub struct SuspectTracker {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    /// What is to be told, and how often still.
    updates: BTreeMap<RequestFingerprint, u8>,
}

impl SuspectTracker {
    /// Whether no request has to be known again.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Takes that an endpoint ended under a request; true where that is news.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: SuspectCrash,
    ) -> bool {
        let is_new = self.merge_crash(fingerprint, crash);
        if is_new {
            self.updates.insert(fingerprint, SEND_ROUNDS);
        }
        is_new
    }

    fn merge_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: SuspectCrash,
    ) -> bool {
        let is_new = self
            .records
            .entry(fingerprint)
            .or_default()
            .merge_crash(crash);
        if self.records.len() > MAX_RECORDS {
            self.evict_least(fingerprint);
        }
        is_new
    }

    /// Drops the one that fewest endpoints ended under, of these the one that was heard of
    /// longest ago: whoever sends thousands of different ones pushes out its own.
    fn evict_least(
        &mut self,
        newest: RequestFingerprint,
    ) {
        let others = self.records.iter().filter(|(known, _)| **known != newest);
        let least = others.min_by_key(|(_, record)| (record.count, record.last_update()));
        if let Some(least) = least.map(|(known, _)| *known) {
            self.records.remove(&least);
            self.updates.remove(&least);
        }
    }

    /// Takes that a request was answered whole; true where that clears it.
    pub fn record_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let is_cleared = record.merge_answer(now);
        if is_cleared {
            self.updates.insert(fingerprint, SEND_ROUNDS);
        }
        is_cleared
    }

    /// How a request stands; `jitter`, from 0 to 1, is the front's own part of the delay.
    pub fn status(
        &self,
        fingerprint: RequestFingerprint,
        jitter: f64,
        now: Micros,
    ) -> SuspectStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectStatus::Clear;
        };
        let is_cleared = record
            .answered
            .is_some_and(|at| now.since(at) < CLEARED_FOR);
        let since = record.last_crash().map(|at| now.since(at));
        let Some(since) = since.filter(|since| !is_cleared && *since < HELD_FOR) else {
            return SuspectStatus::Clear;
        };
        let delay = RETRY_DELAY + Micros((RETRY_DELAY.0 as f64 * jitter) as u64);
        match record.count {
            0 => SuspectStatus::Clear,
            count if count >= HELD_AFTER => SuspectStatus::Held(HELD_FOR.since(since)),
            2 if since < delay => SuspectStatus::Resting(delay.since(since)),
            count => SuspectStatus::Suspect(count),
        }
    }

    /// Takes what another process knows; true where that is news.
    pub fn merge(
        &mut self,
        report: &SuspectReport,
        now: Micros,
    ) -> bool {
        let mut is_new = false;
        for crash in &report.crashes {
            if crash.ended >= HELD_FOR {
                continue;
            }
            let crash = SuspectCrash {
                sent: now.since(crash.sent),
                ended: now.since(crash.ended),
                ..*crash
            };
            is_new |= self.merge_crash(report.fingerprint, crash);
        }
        let record = self.records.get_mut(&report.fingerprint);
        let answered = report.answered.map(|age| now.since(age));
        if let (Some(record), Some(answered)) = (record, answered) {
            is_new |= record.merge_answer(answered);
        }
        is_new
    }

    /// Takes what another process knows, to tell it on.
    pub fn merge_and_forward(
        &mut self,
        report: &SuspectReport,
        now: Micros,
    ) {
        if self.merge(report, now) {
            self.updates.insert(report.fingerprint, 1);
        }
    }

    /// Whether there is something to tell.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// What is to be told now, at most so many.
    pub fn take_updates(
        &mut self,
        limit: usize,
        now: Micros,
    ) -> Vec<SuspectReport> {
        let due: Vec<RequestFingerprint> = self.updates.keys().copied().take(limit).collect();
        let mut reports = Vec::new();
        for fingerprint in due {
            if let Some(record) = self.records.get(&fingerprint) {
                reports.push(record.report(fingerprint, now));
            }
            match self.updates.get_mut(&fingerprint) {
                Some(rounds) if *rounds > 1 => *rounds -= 1,
                _ => {
                    self.updates.remove(&fingerprint);
                }
            }
        }
        reports
    }

    /// All that is known.
    pub fn reports(
        &self,
        now: Micros,
    ) -> Vec<SuspectReport> {
        let records = self.records.iter();
        records
            .map(|(known, record)| record.report(*known, now))
            .collect()
    }

    /// Requests that are held back.
    pub fn held(
        &self,
        now: Micros,
    ) -> BTreeSet<RequestFingerprint> {
        let known = self.records.keys().copied();
        known.filter(|known| self.is_held(*known, now)).collect()
    }

    /// Whether a request is held back.
    pub fn is_held(
        &self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        matches!(self.status(fingerprint, 0.0, now), SuspectStatus::Held(_))
    }

    /// Lets a request go, whatever is known of it; true where it was known.
    pub fn release(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        self.record_answer(fingerprint, now)
    }

    /// Forgets what is too old, and who was cleared some time ago.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.records.retain(|_, record| {
            let age = now.since(record.last_update());
            let limit = match record.count {
                0 => CLEARED_FOR,
                _ => HELD_FOR,
            };
            age < limit
        });
        let records = &self.records;
        self.updates.retain(|known, _| records.contains_key(known));
    }
}
