use {
    super::suspect_record::SuspectRecord,
    crate::serving::{RequestFingerprint, SuspectCrash, SuspectReport},
    crate::time::Micros,
    std::collections::{BTreeMap, BTreeSet},
};

/// Successive crashes after which a request is blocked: one that may be a coincidence, and two
/// while the request ran without other suspects on the endpoint. Each crash takes down the endpoint
/// and everything that runs there for seconds.
const CRASHES_TO_BLOCK: u32 = 3;
/// Minimum delay after the second crash before the request is retried; endpoints have restarted by
/// then. Each front waits for a different time of up to twice this delay, so that the others learn
/// of the first front's attempt.
const RETRY_DELAY: Micros = Micros::from_millis(1_000);
/// Time for which a request is blocked after its last crash, and for which crashes are remembered:
/// otherwise a caller that retries rarely would crash an endpoint each time.
const BLOCK_DURATION: Micros = Micros::from_secs(600);
/// Time for which a complete response proves that a request is harmless: crashes in that time have
/// another cause.
const CLEARED_FOR: Micros = Micros::from_secs(20);
/// Maximum number of tracked requests. Up to a hundred run on an endpoint when it crashes; those
/// with a complete response are removed soon.
const MAX_RECORDS: usize = 1_024;
/// Times that an update is sent, to different receivers each time: datagrams may get lost.
const SEND_ROUNDS: u8 = 2;

/// Status of a request with regard to crashes of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It is not suspected.
    Clear,
    /// This many endpoints crashed during it: it runs on an endpoint without other suspects.
    Suspect(u32),
    /// It is not retried for this long.
    BackingOff(Micros),
    /// It is blocked for this long.
    Blocked(Micros),
}

/// Requests during which endpoints crashed.
///
/// Only requests that had begun to run on a crashed endpoint are tracked, until a response to them
/// is complete. Reports of several fronts can be merged in any order and any number of times.
#[derive(Debug, Clone, Default)]
pub struct SuspectTracker {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    /// Requests with an update to send, and the remaining number of sends.
    updates: BTreeMap<RequestFingerprint, u8>,
}

impl SuspectTracker {
    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of tracked requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Records that an endpoint crashed during a request; true if this crash was unknown.
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

    /// Drops the request with the fewest crashes, among these the one with the oldest update: a
    /// caller that sends thousands of different requests evicts its own.
    fn evict_least(
        &mut self,
        newest: RequestFingerprint,
    ) {
        let others = self.records.iter().filter(|(other, _)| **other != newest);
        let least = others.min_by_key(|(_, record)| (record.count, record.last_update()));
        if let Some(least) = least.map(|(other, _)| *other) {
            self.records.remove(&least);
            self.updates.remove(&least);
        }
    }

    /// Records a complete response to a request; true if this clears it.
    pub fn record_response(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let is_cleared = record.merge_response(now);
        if is_cleared {
            self.updates.insert(fingerprint, SEND_ROUNDS);
        }
        is_cleared
    }

    /// Status of a request; `jitter`, from 0 to 1, lengthens the retry delay of this front.
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
        let Some(since) = since.filter(|since| !is_cleared && *since < BLOCK_DURATION) else {
            return SuspectStatus::Clear;
        };
        let delay = RETRY_DELAY + Micros((RETRY_DELAY.0 as f64 * jitter) as u64);
        match record.count {
            0 => SuspectStatus::Clear,
            count if count >= CRASHES_TO_BLOCK => {
                SuspectStatus::Blocked(BLOCK_DURATION.since(since))
            }
            2 if since < delay => SuspectStatus::BackingOff(delay.since(since)),
            count => SuspectStatus::Suspect(count),
        }
    }

    /// Merges a report of another process; true if it contained anything unknown.
    pub fn merge(
        &mut self,
        report: &SuspectReport,
        now: Micros,
    ) -> bool {
        let mut is_new = false;
        for crash in &report.crashes {
            if crash.ended >= BLOCK_DURATION {
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
            is_new |= record.merge_response(answered);
        }
        is_new
    }

    /// Merges a report of another process and forwards it once if it was unknown.
    pub fn merge_and_forward(
        &mut self,
        report: &SuspectReport,
        now: Micros,
    ) {
        if self.merge(report, now) {
            self.updates.insert(report.fingerprint, 1);
        }
    }

    /// Whether there are updates to send.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Updates to send now, at most `limit`.
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

    /// Reports of all tracked requests.
    pub fn reports(
        &self,
        now: Micros,
    ) -> Vec<SuspectReport> {
        let records = self.records.iter();
        records
            .map(|(fingerprint, record)| record.report(*fingerprint, now))
            .collect()
    }

    /// Requests that are blocked.
    pub fn blocked(
        &self,
        now: Micros,
    ) -> BTreeSet<RequestFingerprint> {
        let tracked = self.records.keys().copied();
        tracked
            .filter(|fingerprint| self.is_blocked(*fingerprint, now))
            .collect()
    }

    /// Whether a request is blocked.
    pub fn is_blocked(
        &self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        matches!(
            self.status(fingerprint, 0.0, now),
            SuspectStatus::Blocked(_)
        )
    }

    /// Clears a request, whatever is known about it; true if it was suspected.
    pub fn release(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        self.record_response(fingerprint, now)
    }

    /// Removes expired records and requests that were cleared some time ago.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.records.retain(|_, record| {
            let age = now.since(record.last_update());
            let limit = match record.count {
                0 => CLEARED_FOR,
                _ => BLOCK_DURATION,
            };
            age < limit
        });
        let records = &self.records;
        self.updates
            .retain(|fingerprint, _| records.contains_key(fingerprint));
    }
}
