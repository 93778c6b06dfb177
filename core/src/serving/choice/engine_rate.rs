use crate::time::Micros;

/// Time for which an engine's speed must differ before its rate follows. When the pace of the last
/// 0.2 s decided, all fronts moved to the same engines together.
const CONFIRM_TIME: Micros = Micros::from_secs(1);
/// Time constant with which the rate follows a confirmed difference.
const FOLLOW_TIME: Micros = Micros::from_millis(700);
/// Time constant with which the rate returns towards 1 after a recovery. The pace of a recovered
/// engine has already been measured for a second.
const RECOVERY_TIME: Micros = Micros::from_millis(150);
/// Time constant for smaller changes towards 1, most of which are noise.
const SETTLE_TIME: Micros = Micros::from_millis(600);
/// Time constant with which the rate returns to 1 while the speed is unknown.
const FADE_TIME: Micros = Micros::from_millis(1_000);
/// Longest time between two updates across which a difference counts as lasting.
const MAX_UPDATE_GAP: Micros = Micros::from_millis(700);
/// Ratio between measured and used rate up to which the rate stays: an engine's pace also depends on
/// the number of its runs.
const TOLERANCE: f64 = 1.1;
/// Ratio at which the rate counts as equal to its target.
const REACHED: f64 = 1.02;
/// Rates from which an engine counts as slow, and below which it no longer does; a change towards 1 by
/// the latter is a recovery.
const SLOW_FROM: f64 = 1.25;
const SLOW_UNTIL: f64 = 1.2;

/// Time that an engine takes compared with the median of its service: above 1 if it is slower.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRate {
    value: f64,
    is_slow: bool,
    difference: Option<RateDifference>,
    updated_at: Option<Micros>,
}

/// A difference between measured and used rate.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RateDifference {
    /// Start of the period that is being observed.
    since: Micros,
    /// Measured rate closest to the used one in this period.
    mildest: f64,
    /// The closest one of the period before.
    confirmed: Option<f64>,
}

impl Default for EngineRate {
    fn default() -> Self {
        EngineRate {
            value: 1.0,
            is_slow: false,
            difference: None,
            updated_at: None,
        }
    }
}

impl EngineRate {
    /// Factor on estimated times at this engine.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Whether the engine counts as slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Follows the measured rate, `None` if it is unknown. Returns true if the engine has become
    /// slow or is no longer slow.
    pub(in crate::serving) fn update(
        &mut self,
        measured: Option<f64>,
        now: Micros,
    ) -> bool {
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Micros::ZERO, |at| now.since(at));
        if elapsed > MAX_UPDATE_GAP {
            self.difference = None;
        }
        let is_following = self
            .difference
            .is_some_and(|known| known.confirmed.is_some());
        match measured {
            None => {
                self.difference = None;
                self.approach(1.0, elapsed, FADE_TIME);
            }
            Some(measured) if is_closer_to_one(measured, self.value) => {
                self.difference = None;
                let is_recovery = ratio(measured, self.value) >= SLOW_UNTIL;
                let time = if is_recovery {
                    RECOVERY_TIME
                } else {
                    SETTLE_TIME
                };
                self.approach(measured, elapsed, time);
            }
            Some(measured) if !is_following && ratio(measured, self.value) < TOLERANCE => {
                self.difference = None;
            }
            Some(measured) => self.follow(measured, elapsed, now),
        }
        let was_slow = self.is_slow;
        self.is_slow = self.value >= if was_slow { SLOW_UNTIL } else { SLOW_FROM };
        was_slow != self.is_slow
    }

    fn follow(
        &mut self,
        measured: f64,
        elapsed: Micros,
        now: Micros,
    ) {
        let is_above = |value: f64| value > self.value;
        let known = self
            .difference
            .filter(|known| is_above(known.mildest) == is_above(measured));
        let mut difference = known.unwrap_or(RateDifference {
            since: now,
            mildest: measured,
            confirmed: None,
        });
        if ratio(measured, self.value) < ratio(difference.mildest, self.value) {
            difference.mildest = measured;
        }
        if now.since(difference.since) >= CONFIRM_TIME {
            difference = RateDifference {
                since: now,
                mildest: measured,
                confirmed: Some(difference.mildest),
            };
        }
        self.difference = Some(difference);
        if let Some(confirmed) = difference.confirmed {
            self.approach(confirmed, elapsed, FOLLOW_TIME);
        }
    }

    fn approach(
        &mut self,
        target: f64,
        elapsed: Micros,
        time: Micros,
    ) {
        let share = 1.0 - (-(elapsed.0 as f64) / time.0 as f64).exp();
        self.value *= (target / self.value).powf(share);
        if ratio(self.value, target) < REACHED {
            self.value = target;
        }
    }
}

/// Whether the measured rate is closer to 1 than the used one by more than the tolerance.
fn is_closer_to_one(
    measured: f64,
    used: f64,
) -> bool {
    ratio(measured, 1.0) < ratio(used, 1.0)
        && (measured == 1.0 || ratio(measured, used) >= TOLERANCE)
}

/// Ratio of two positive numbers, at least 1.
fn ratio(
    one: f64,
    other: f64,
) -> f64 {
    (one / other).max(other / one)
}
