use {
    super::{told_age::ToldAge, KeyPolicy},
    crate::time::Micros,
};

/// Part of the limit up to which a box calls itself ready, in hundredths: the
/// balancer needs two seconds to look elsewhere.
const SOUND_PART: u64 = 55;

/// How old the knowledge of keys may be, and how old it is.
///
/// Knowledge counts from when the store gave an answer, as far as that is proven, and not from
/// when it came: what the store took in between may be missing from the answer.
#[derive(Debug, Clone, Copy)]
pub struct KeyTrust {
    limit: Micros,
    policy: KeyPolicy,
    read_at: Option<Micros>,
    /// When a question was sent of which two others say what it showed.
    witnessed_at: Option<Micros>,
    handed: Option<ToldAge>,
}

impl KeyTrust {
    /// Nothing is known yet; `limit` is the age up to which knowledge counts as
    /// fresh.
    pub fn new(
        limit: Micros,
        policy: KeyPolicy,
    ) -> Self {
        KeyTrust {
            limit,
            policy,
            read_at: None,
            witnessed_at: None,
            handed: None,
        }
    }

    /// Notes a whole read of the configuration as of `proven_at`.
    pub fn proven(
        &mut self,
        proven_at: Micros,
    ) {
        self.read_at = self.read_at.max(Some(proven_at));
    }

    /// Takes that two other boxes have found what is known here to be the newest, by questions
    /// that were sent at `sent_at` or later.
    pub fn witnessed(
        &mut self,
        sent_at: Micros,
    ) {
        self.witnessed_at = self.witnessed_at.max(Some(sent_at));
    }

    /// The platform's store had come back from a copy: no reading of this process has proven
    /// anything.
    pub fn unprove(&mut self) {
        self.read_at = None;
        self.witnessed_at = None;
    }

    /// Notes knowledge that another box handed on; it keeps its age.
    pub fn handed_on(
        &mut self,
        age: Micros,
        now: Micros,
    ) {
        let is_younger = self.age(now).is_none_or(|known| age < known);
        if is_younger {
            self.handed = Some(ToldAge { age, at: now });
        }
    }

    /// When the newest question was sent that showed what is known to be the newest, by an own
    /// reading or those of two others.
    pub fn proven_at(&self) -> Option<Micros> {
        self.read_at.max(self.witnessed_at)
    }

    /// Whether no reading has proven anything for longer than two questions take that are held
    /// for so long each.
    pub fn is_behind(
        &self,
        held_for: Micros,
        now: Micros,
    ) -> bool {
        let limit = held_for + held_for;
        self.proven_at().is_some_and(|at| now.since(at) > limit)
    }

    /// Age of the knowledge, if there is any.
    pub fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        ToldAge::least(self.proven_at(), self.handed, now)
    }

    /// Whether somebody may be told that a key or a route does not exist: only by what this
    /// process has read itself or two others have, as a single one may have been behind.
    pub fn may_deny(
        &self,
        now: Micros,
    ) -> bool {
        self.proven_at()
            .is_some_and(|at| now.since(at) < self.limit)
    }

    /// Whether callers may be let in by their keys.
    pub fn lets_in(
        &self,
        now: Micros,
    ) -> bool {
        match self.policy {
            KeyPolicy::FailClosed => self.is_younger(self.limit, now),
            KeyPolicy::ServeOn => self.age(now).is_some(),
        }
    }

    /// Whether further callers may be asked for. Where keys fail closed, the
    /// knowledge is then at most [`SOUND_PART`] of the limit old.
    pub fn is_sound(
        &self,
        now: Micros,
    ) -> bool {
        match self.policy {
            KeyPolicy::FailClosed => self.is_younger(Micros(self.limit.0 * SOUND_PART / 100), now),
            KeyPolicy::ServeOn => self.age(now).is_some(),
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
