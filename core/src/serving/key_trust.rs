use crate::time::Micros;

/// Part of the limit up to which a box calls itself ready, in hundredths: the
/// balancer needs two seconds to look elsewhere.
const SOUND_PART: u64 = 55;

/// How old the knowledge of keys may be, and how old it is.
///
/// Knowledge counts from when a read was sent, not from when its answer came:
/// what the store took in between may be missing from the answer.
#[derive(Debug, Clone, Copy)]
pub struct KeyTrust {
    limit: Micros,
    proven_at: Option<Micros>,
}

impl KeyTrust {
    /// Nothing is known yet; `limit` is the oldest knowledge that lets callers in.
    pub fn new(limit: Micros) -> Self {
        KeyTrust {
            limit,
            proven_at: None,
        }
    }

    /// Notes a whole read of the configuration that was sent at `sent_at`.
    pub fn proven(
        &mut self,
        sent_at: Micros,
    ) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// When the last whole read was sent.
    pub fn proven_at(&self) -> Option<Micros> {
        self.proven_at
    }

    /// Age of the knowledge, if there is any.
    pub fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        self.proven_at.map(|at| now.since(at))
    }

    /// Whether callers may be let in by their keys.
    pub fn holds(
        &self,
        now: Micros,
    ) -> bool {
        self.age(now).is_some_and(|age| age < self.limit)
    }

    /// Whether the knowledge is fresh enough to ask for further callers: at
    /// most [`SOUND_PART`] of what lets them in.
    pub fn is_sound(
        &self,
        now: Micros,
    ) -> bool {
        let limit = Micros(self.limit.0 * SOUND_PART / 100);
        self.age(now).is_some_and(|age| age < limit)
    }
}
