use crate::time::Micros;

/// Time for which a bound counts: two steady clocks drift apart by some milliseconds in it.
const BOUND_LIFE: Micros = Micros::from_secs(30);
/// The store tells whole milliseconds.
const TELL_STEP_US: i64 = 1_000;

/// Maps the steady clock of the platform's store to the local one.
///
/// An answer proves what was in force when the store gave it, not only when the question was
/// sent, which matters for questions that are held there. The local time of that is bounded from
/// below by earlier answers: the store's clock showed their time after they had been asked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// Greatest lower bound of the local time at which the store's clock showed zero, in
    /// microseconds, and since when it is collected.
    current: Option<(i64, Micros)>,
    /// The same of the span before.
    before: Option<i64>,
}

impl StoreClock {
    /// The local time from which an answer proves what was in force: not before its question was
    /// sent, and not after it came.
    pub fn proof_time(
        &mut self,
        sent_at: Micros,
        store_ms: Option<u64>,
        now: Micros,
    ) -> Micros {
        let Some(store_us) = store_ms.and_then(|ms| i64::try_from(ms).ok()?.checked_mul(1_000))
        else {
            return sent_at;
        };
        let told = self.bound(now).map(|zero| zero.saturating_add(store_us));
        self.note(sent_at.0 as i64 - store_us - TELL_STEP_US, now);
        let given = Micros(u64::try_from(told.unwrap_or(0)).unwrap_or(0));
        given.max(sent_at).min(now)
    }

    /// Forgets all: the store's clock may have begun anew.
    pub fn reset(&mut self) {
        *self = StoreClock::default();
    }

    fn bound(
        &self,
        now: Micros,
    ) -> Option<i64> {
        let fresh = |at: Micros| now.since(at) <= BOUND_LIFE + BOUND_LIFE;
        let (current, since) = self.current.filter(|(_, since)| fresh(*since))?;
        let before = self.before.filter(|_| now.since(since) <= BOUND_LIFE);
        Some(before.map_or(current, |before| before.max(current)))
    }

    fn note(
        &mut self,
        zero: i64,
        now: Micros,
    ) {
        self.current = match self.current {
            Some((known, since)) if now.since(since) <= BOUND_LIFE => {
                Some((known.max(zero), since))
            }
            known => {
                let recent =
                    known.filter(|(_, since)| now.since(*since) <= BOUND_LIFE + BOUND_LIFE);
                self.before = recent.map(|(zero, _)| zero);
                Some((zero, now))
            }
        };
    }
}
