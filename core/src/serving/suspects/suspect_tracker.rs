use {
    super::suspect_record::{SuspectRecord, BLOCK_DURATION, CLEARED_FOR, CRASHES_TO_BLOCK},
    crate::serving::{CrashId, SuspectCrash, SuspectKey, SuspectReport},
    crate::time::Micros,
    std::collections::{BTreeMap, BTreeSet},
};

/// Minimum delay after the second crash before the request is retried; endpoints have restarted by
/// then. Each front waits for a different time of up to twice this delay, so that the others learn
/// of the first front's attempt.
const RETRY_DELAY: Micros = Micros::from_millis(1_000);
/// Maximum number of tracked requests. Up to a hundred run on an endpoint when it crashes; those
/// with a complete response are removed soon.
const MAX_RECORDS: usize = 1_024;
/// Lead of the tracker's clock over that of its process, which starts at 0: what others report may
/// have happened before the start.
const CLOCK_LEAD: Micros = Micros(2 * BLOCK_DURATION.0);
/// Times that an update is sent, to different receivers each time: datagrams may get lost.
const SEND_ROUNDS: u8 = 2;

/// Status of a request or suspect with regard to crashes of endpoints; the worse, the greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
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

/// Requests, and parts of prompts, during which endpoints crashed.
///
/// Only what had begun to run on a crashed endpoint is tracked, until a response to it is complete.
/// Reports of several fronts can be merged in any order and any number of times.
#[derive(Debug, Clone, Default)]
pub struct SuspectTracker {
    records: BTreeMap<SuspectKey, SuspectRecord>,
    /// Suspects with an update to send, and the remaining number of sends.
    updates: BTreeMap<SuspectKey, u8>,
}

impl SuspectTracker {
    /// Whether nothing is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of tracked suspects.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Records that an endpoint crashed while it ran a suspect; true if this crash was unknown.
    pub fn record_crash(
        &mut self,
        key: SuspectKey,
        crash: SuspectCrash,
    ) -> bool {
        let crash = SuspectCrash {
            sent: crash.sent + CLOCK_LEAD,
            ended: crash.ended + CLOCK_LEAD,
            ..crash
        };
        let is_new = self.merge_crash(key, crash);
        if is_new {
            self.updates.insert(key, SEND_ROUNDS);
        }
        is_new
    }

    fn merge_crash(
        &mut self,
        key: SuspectKey,
        crash: SuspectCrash,
    ) -> bool {
        let is_new = self
            .records
            .entry(key)
            .or_insert_with(|| SuspectRecord::of(key))
            .merge_crash(crash);
        if self.records.len() > MAX_RECORDS {
            self.evict_least(key);
        }
        is_new
    }

    /// Drops the suspect with the fewest crashes, among these the one with the oldest update: a
    /// caller that sends thousands of different requests evicts its own.
    fn evict_least(
        &mut self,
        newest: SuspectKey,
    ) {
        let others = self.records.iter().filter(|(other, _)| **other != newest);
        let least = others.min_by_key(|(_, record)| (record.count, record.last_update()));
        if let Some(least) = least.map(|(other, _)| *other) {
            self.records.remove(&least);
            self.updates.remove(&least);
        }
    }

    /// Records a complete response to a request with a suspect, also an earlier one; true if others
    /// are to learn of it.
    pub fn record_response(
        &mut self,
        key: SuspectKey,
        now: Micros,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        let is_cleared = record.record_response(now + CLOCK_LEAD);
        if is_cleared {
            self.updates.insert(key, SEND_ROUNDS);
        }
        is_cleared
    }

    /// Status of a request that contains these suspects, for an organisation; `jitter`, from 0 to 1,
    /// lengthens the retry delay of this front.
    pub fn request_status(
        &self,
        keys: &[SuspectKey],
        organisation: u32,
        jitter: f64,
        now: Micros,
    ) -> SuspectStatus {
        let statuses = keys.iter().map(|key| {
            let status = self.status(*key, jitter, now);
            let is_tried = matches!(status, SuspectStatus::Blocked(_))
                && !self.is_blamed(*key, keys, organisation);
            match self.records.get(key) {
                Some(record) if is_tried => self.isolated_status(record, jitter, now + CLOCK_LEAD),
                _ => status,
            }
        });
        statuses.max().unwrap_or(SuspectStatus::Clear)
    }

    /// Whether a blocked suspect is to blame for its crashes, as far as a request with these suspects
    /// can tell. A part that crashed endpoints only together with other blocked parts, which the
    /// request lacks, may be harmless; so may one that crashed them only in runs of another
    /// organisation.
    fn is_blamed(
        &self,
        key: SuspectKey,
        keys: &[SuspectKey],
        organisation: u32,
    ) -> bool {
        let Some(record) = self.records.get(&key).filter(|_| key.is_part()) else {
            return true;
        };
        let is_other = |(other, known): &(&SuspectKey, &SuspectRecord)| {
            other.is_part() && known.count >= CRASHES_TO_BLOCK && !keys.contains(other)
        };
        let others = self.records.iter().filter(is_other);
        let others: Vec<&SuspectRecord> = others.map(|(_, known)| known).collect();
        let is_explained = |mark: &CrashId| others.iter().any(|other| other.has_crash(*mark));
        record.concerns(organisation) && !record.counted_crashes().iter().all(is_explained)
    }

    /// Status of a suspect in any request; `jitter`, from 0 to 1, lengthens the retry delay of this
    /// front.
    pub fn status(
        &self,
        key: SuspectKey,
        jitter: f64,
        now: Micros,
    ) -> SuspectStatus {
        let Some(record) = self.records.get(&key) else {
            return SuspectStatus::Clear;
        };
        let now = now + CLOCK_LEAD;
        let since = record.last_crash().map(|at| now.since(at));
        let Some(since) = since.filter(|since| *since < BLOCK_DURATION) else {
            return SuspectStatus::Clear;
        };
        match record.count.saturating_sub(record.response_weight(now)) {
            0 => SuspectStatus::Clear,
            1 => SuspectStatus::Suspect(1),
            _ => match record.block_duration() {
                Some(duration) if since < duration => SuspectStatus::Blocked(duration.since(since)),
                _ => self.isolated_status(record, jitter, now),
            },
        }
    }

    /// Status of a suspect that runs only without others on its endpoint; `now` is on the tracker's
    /// clock.
    fn isolated_status(
        &self,
        record: &SuspectRecord,
        jitter: f64,
        now: Micros,
    ) -> SuspectStatus {
        let since = record
            .last_crash()
            .map_or(BLOCK_DURATION, |at| now.since(at));
        let delay = RETRY_DELAY + Micros((RETRY_DELAY.0 as f64 * jitter) as u64);
        match since < delay {
            true => SuspectStatus::BackingOff(delay.since(since)),
            false => SuspectStatus::Suspect(CRASHES_TO_BLOCK - 1),
        }
    }

    /// Number of crashes that count against a suspect.
    pub fn crash_count(
        &self,
        key: SuspectKey,
    ) -> u32 {
        self.records.get(&key).map_or(0, |record| record.count)
    }

    /// Merges a report of another process; true if it contained anything unknown. If the process lacks
    /// a response that is known here and clears a crash, an update follows.
    pub fn merge(
        &mut self,
        report: &SuspectReport,
        now: Micros,
    ) -> bool {
        let now = now + CLOCK_LEAD;
        let mut reported = SuspectRecord::of(report.key);
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
            is_new |= self.merge_crash(report.key, crash);
            reported.merge_crash(crash);
        }
        let Some(record) = self.records.get_mut(&report.key) else {
            return is_new;
        };
        if let Some(answered) = report.answered.map(|age| now.since(age)) {
            is_new |= record.merge_response(answered);
            reported.merge_response(answered);
        }
        // A response that clears nothing here is not reported until it clears something elsewhere.
        if record
            .answered
            .is_some_and(|at| reported.merge_response(at))
        {
            self.updates.insert(report.key, SEND_ROUNDS);
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
            self.updates.entry(report.key).or_insert(1);
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
        let due: Vec<SuspectKey> = self.updates.keys().copied().take(limit).collect();
        let mut reports = Vec::new();
        for key in due {
            if let Some(record) = self.records.get(&key) {
                reports.push(record.report(key, now + CLOCK_LEAD));
            }
            match self.updates.get_mut(&key) {
                Some(rounds) if *rounds > 1 => *rounds -= 1,
                _ => {
                    self.updates.remove(&key);
                }
            }
        }
        reports
    }

    /// Reports of all tracked suspects.
    pub fn reports(
        &self,
        now: Micros,
    ) -> Vec<SuspectReport> {
        let records = self.records.iter();
        records
            .map(|(key, record)| record.report(*key, now + CLOCK_LEAD))
            .collect()
    }

    /// Suspects that are blocked.
    pub fn blocked(
        &self,
        now: Micros,
    ) -> BTreeSet<SuspectKey> {
        let tracked = self.records.keys().copied();
        tracked.filter(|key| self.is_blocked(*key, now)).collect()
    }

    /// Whether a suspect is blocked, at least for some organisations.
    pub fn is_blocked(
        &self,
        key: SuspectKey,
        now: Micros,
    ) -> bool {
        matches!(self.status(key, 0.0, now), SuspectStatus::Blocked(_))
    }

    /// Whether a suspect has been blocked, possibly only for a short time, and not cleared since.
    pub fn was_blocked(
        &self,
        key: SuspectKey,
    ) -> bool {
        let record = self.records.get(&key);
        record.is_some_and(|record| record.block_duration().is_some())
    }

    /// Clears a suspect, whatever is known about it; true if it was suspected.
    pub fn release(
        &mut self,
        key: SuspectKey,
        now: Micros,
    ) -> bool {
        self.record_response(key, now)
    }

    /// Removes expired records and suspects that were cleared some time ago.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.records.retain(|_, record| {
            let age = (now + CLOCK_LEAD).since(record.last_update());
            let limit = match record.count {
                0 => CLEARED_FOR,
                _ => BLOCK_DURATION,
            };
            age < limit
        });
        let records = &self.records;
        self.updates.retain(|key, _| records.contains_key(key));
    }
}
