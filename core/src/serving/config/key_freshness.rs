use {
    crate::serving::{store_reads::ReportedAge, KeyPolicy},
    crate::time::Micros,
};

/// Share of the age limit up to which a box reports itself ready, in percent: the load balancer
/// takes two seconds to route elsewhere.
const READY_AGE_PERCENT: u64 = 55;

/// Tracks the age of the known key configuration against its limit.
///
/// Age counts from the earliest time at which the store can have sent its response, not from its
/// arrival: changes that the store accepted in between may be missing from it.
#[derive(Debug, Clone, Copy)]
pub struct KeyFreshness {
    limit: Micros,
    policy: KeyPolicy,
    read_at: Option<Micros>,
    /// Send time of a request whose result two other boxes have confirmed.
    confirmed_at: Option<Micros>,
    reported: Option<ReportedAge>,
}

impl KeyFreshness {
    /// Starts without any knowledge; `limit` is the age up to which knowledge counts as fresh.
    pub fn new(
        limit: Micros,
        policy: KeyPolicy,
    ) -> Self {
        KeyFreshness {
            limit,
            policy,
            read_at: None,
            confirmed_at: None,
            reported: None,
        }
    }

    /// Records a complete read of the configuration that was current at `proven_at`.
    pub fn record_read(
        &mut self,
        proven_at: Micros,
    ) {
        self.read_at = self.read_at.max(Some(proven_at));
    }

    /// Records that two other boxes confirmed that the configuration known here is the newest, with
    /// requests sent at `sent_at` or later.
    pub fn record_confirmed_read(
        &mut self,
        sent_at: Micros,
    ) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Discards this process's proofs after the platform store was restored from a snapshot.
    pub fn invalidate(&mut self) {
        self.read_at = None;
        self.confirmed_at = None;
    }

    /// Records a configuration forwarded by another box, with the age that it has there.
    pub fn record_report(
        &mut self,
        age: Micros,
        now: Micros,
    ) {
        let is_younger = self.age(now).is_none_or(|known| age < known);
        if is_younger {
            self.reported = Some(ReportedAge { age, at: now });
        }
    }

    /// Send time of the newest request that showed the known configuration to be the newest, from a
    /// read by this box or by two others.
    pub fn proven_at(&self) -> Option<Micros> {
        self.read_at.max(self.confirmed_at)
    }

    /// Whether the last successful read is older than the duration of two long polls that each take
    /// `held_for`.
    pub fn is_overdue(
        &self,
        held_for: Micros,
        now: Micros,
    ) -> bool {
        let limit = held_for + held_for;
        self.proven_at().is_some_and(|at| now.since(at) > limit)
    }

    /// Age of the known configuration, if there is one.
    pub fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        ReportedAge::min_age(self.proven_at(), self.reported, now)
    }

    /// Whether a request may be refused because its key or route is unknown. This needs a read by
    /// this box or reads by two others, as a single other box may have been out of date.
    pub fn may_deny(
        &self,
        now: Micros,
    ) -> bool {
        self.proven_at()
            .is_some_and(|at| now.since(at) < self.limit)
    }

    /// Whether callers may be admitted by their keys.
    pub fn admits_keys(
        &self,
        now: Micros,
    ) -> bool {
        match self.policy {
            KeyPolicy::FailClosed => self.is_younger(self.limit, now),
            KeyPolicy::FailOpen => self.age(now).is_some(),
        }
    }

    /// Whether the box may report itself ready for more callers. Where keys fail closed, the
    /// configuration is then younger than `READY_AGE_PERCENT` percent of the limit.
    pub fn is_ready(
        &self,
        now: Micros,
    ) -> bool {
        match self.policy {
            KeyPolicy::FailClosed => {
                self.is_younger(Micros(self.limit.0 * READY_AGE_PERCENT / 100), now)
            }
            KeyPolicy::FailOpen => self.age(now).is_some(),
        }
    }

    fn is_younger(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
