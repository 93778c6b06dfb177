use {
    super::{suspect_record::SuspectRecord, RequestFingerprint, SuspectCrash, ToldSuspect},
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
const REST: Micros = Micros::from_millis(1_000);
/// Time for which a request is held back after its last crash, and for which crashes are
/// remembered: callers that come again seldom would end an endpoint each time.
const HELD_FOR: Micros = Micros::from_secs(600);
/// Time for which a whole answer proves that a request ends nothing: crashes meanwhile
/// have another cause.
const PROVEN_FOR: Micros = Micros::from_secs(20);
/// Requests that are remembered. Up to a hundred are at an endpoint that ends; those that
/// are answered are dropped soon.
const RECORDS_LIMIT: usize = 1_024;
/// Times that news is told, to others each time: datagrams may get lost.
const TELL_ROUNDS: u8 = 2;

/// How a request stands with the crashes of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStanding {
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
pub struct SuspectBook {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    /// What is to be told, and how often still.
    news: BTreeMap<RequestFingerprint, u8>,
}

impl SuspectBook {
    /// Whether no request has to be known again.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Takes that an endpoint ended under a request; true where that is news.
    pub fn note_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: SuspectCrash,
    ) -> bool {
        let is_news = self.take_crash(fingerprint, crash);
        if is_news {
            self.news.insert(fingerprint, TELL_ROUNDS);
        }
        is_news
    }

    fn take_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: SuspectCrash,
    ) -> bool {
        let is_news = self
            .records
            .entry(fingerprint)
            .or_default()
            .take_crash(crash);
        if self.records.len() > RECORDS_LIMIT {
            self.drop_least(fingerprint);
        }
        is_news
    }

    /// Drops the one that fewest endpoints ended under, of these the one that was heard of
    /// longest ago: whoever sends thousands of different ones pushes out its own.
    fn drop_least(
        &mut self,
        newest: RequestFingerprint,
    ) {
        let others = self.records.iter().filter(|(known, _)| **known != newest);
        let least = others.min_by_key(|(_, record)| (record.count, record.last_news()));
        if let Some(least) = least.map(|(known, _)| *known) {
            self.records.remove(&least);
            self.news.remove(&least);
        }
    }

    /// Takes that a request was answered whole; true where that clears it.
    pub fn note_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let is_cleared = record.take_answer(now);
        if is_cleared {
            self.news.insert(fingerprint, TELL_ROUNDS);
        }
        is_cleared
    }

    /// How a request stands; `spread`, from 0 to 1, is the front's own part of the rest.
    pub fn standing(
        &self,
        fingerprint: RequestFingerprint,
        spread: f64,
        now: Micros,
    ) -> SuspectStanding {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectStanding::Clear;
        };
        let is_proven = record.answered.is_some_and(|at| now.since(at) < PROVEN_FOR);
        let since = record.last_crash().map(|at| now.since(at));
        let Some(since) = since.filter(|since| !is_proven && *since < HELD_FOR) else {
            return SuspectStanding::Clear;
        };
        let rest = REST + Micros((REST.0 as f64 * spread) as u64);
        match record.count {
            0 => SuspectStanding::Clear,
            count if count >= HELD_AFTER => SuspectStanding::Held(HELD_FOR.since(since)),
            2 if since < rest => SuspectStanding::Resting(rest.since(since)),
            count => SuspectStanding::Suspect(count),
        }
    }

    /// Takes what another process knows; true where that is news.
    pub fn tell(
        &mut self,
        told: &ToldSuspect,
        now: Micros,
    ) -> bool {
        let mut is_news = false;
        for crash in &told.crashes {
            if crash.ended >= HELD_FOR {
                continue;
            }
            let crash = SuspectCrash {
                sent: now.since(crash.sent),
                ended: now.since(crash.ended),
                ..*crash
            };
            is_news |= self.take_crash(told.fingerprint, crash);
        }
        let record = self.records.get_mut(&told.fingerprint);
        let answered = told.answered.map(|age| now.since(age));
        if let (Some(record), Some(answered)) = (record, answered) {
            is_news |= record.take_answer(answered);
        }
        is_news
    }

    /// Takes what another process knows, to tell it on.
    pub fn tell_on(
        &mut self,
        told: &ToldSuspect,
        now: Micros,
    ) {
        if self.tell(told, now) {
            self.news.insert(told.fingerprint, 1);
        }
    }

    /// Whether there is something to tell.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What is to be told now, at most so many.
    pub fn take_news(
        &mut self,
        limit: usize,
        now: Micros,
    ) -> Vec<ToldSuspect> {
        let due: Vec<RequestFingerprint> = self.news.keys().copied().take(limit).collect();
        let mut told = Vec::new();
        for fingerprint in due {
            if let Some(record) = self.records.get(&fingerprint) {
                told.push(record.told(fingerprint, now));
            }
            match self.news.get_mut(&fingerprint) {
                Some(rounds) if *rounds > 1 => *rounds -= 1,
                _ => {
                    self.news.remove(&fingerprint);
                }
            }
        }
        told
    }

    /// All that is known.
    pub fn told(
        &self,
        now: Micros,
    ) -> Vec<ToldSuspect> {
        let records = self.records.iter();
        records
            .map(|(known, record)| record.told(*known, now))
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
        matches!(
            self.standing(fingerprint, 0.0, now),
            SuspectStanding::Held(_)
        )
    }

    /// Lets a request go, whatever is known of it; true where it was known.
    pub fn release(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        self.note_answer(fingerprint, now)
    }

    /// Forgets what is too old, and who was cleared some time ago.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.records.retain(|_, record| {
            let age = now.since(record.last_news());
            let limit = match record.count {
                0 => PROVEN_FOR,
                _ => HELD_FOR,
            };
            age < limit
        });
        let records = &self.records;
        self.news.retain(|known, _| records.contains_key(known));
    }
}
