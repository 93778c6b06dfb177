use crate::{serving::stable_fraction, time::Micros};

/// Fraction of the limit that the boxes share out, as a box that starts is not counted yet.
const SHARED_FRACTION: f64 = 0.9;
/// The same with many boxes: they act independently, so the requests of more of them coincide by
/// chance.
const CROWDED_FRACTION: f64 = 0.65;
/// Boxes from which there are many: a base, and those per request per second of the limit. With
/// fewer, the limit is kept even if each box sends its next request at the same moment.
const CROWDED_BASE: f64 = 5.0;
const CROWDED_FACTOR: f64 = 2.4;
/// With many boxes, how long a box may send its next request before it has to wait for its next
/// interval: otherwise a burst would make all of them send at once.
const CROWDED_SLOT: Micros = Micros::from_secs(1);
/// Requests per second that are sent even to an endpoint that states a lower limit, as only a
/// response tells when the limit ends.
const MIN_PER_SECOND: f64 = 0.2;

/// Request rate that an endpoint states in its responses, as seen by one box.
///
/// Boxes do not coordinate: each one sends its share of the limit, evenly spaced. The first request
/// is delayed by a part of the interval that differs between boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StatedLimit {
    per_second: Option<f64>,
    /// When it was last stated.
    stated_at: Micros,
    /// Start of the current interval.
    interval_start: Micros,
    /// Fraction of the interval after which the next request may be sent.
    delay_fraction: f64,
}

impl StatedLimit {
    /// Requests per second that the endpoint accepts from all boxes together, if it is limited.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Delay of the first request of a box, as a fraction of the interval; it differs between boxes.
    pub fn first_delay(
        box_id: &str,
        endpoint_id: &str,
    ) -> f64 {
        stable_fraction(&format!("{box_id} {endpoint_id}"))
    }

    /// Records the limit in a response to a request that was sent at `sent_at`; true if the limit
    /// has changed. `first_delay` is the delay of the first request, as a fraction of the interval.
    pub fn record(
        &mut self,
        per_second: Option<f64>,
        first_delay: f64,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        let previous = self.per_second;
        match per_second {
            Some(_) => {
                if previous.is_none() {
                    self.interval_start = now;
                    self.delay_fraction = first_delay;
                }
                self.per_second = per_second;
                self.stated_at = now;
            }
            // A response to an earlier request may have been sent before the limit began.
            None if sent_at < self.stated_at => {}
            None => self.per_second = None,
        }
        self.per_second != previous
    }

    /// Records a request of this box.
    pub fn record_sent(
        &mut self,
        now: Micros,
    ) {
        self.interval_start = now;
        self.delay_fraction = 1.0;
    }

    /// Time until this box, one of `boxes`, may send a request.
    pub fn admits_after(
        &self,
        boxes: u32,
        now: Micros,
    ) -> Micros {
        let Some(per_second) = self.per_second else {
            return Micros::ZERO;
        };
        let boxes = f64::from(boxes.max(1));
        let is_crowded = boxes > CROWDED_BASE + CROWDED_FACTOR * per_second;
        let fraction = match is_crowded {
            true => CROWDED_FRACTION,
            false => SHARED_FRACTION,
        };
        let interval_us = 1e6 * boxes / (per_second * fraction).max(MIN_PER_SECOND);
        let next_at = self.interval_start + Micros((interval_us * self.delay_fraction) as u64);
        if now < next_at || !is_crowded {
            return next_at.since(now);
        }
        let interval = Micros(interval_us as u64);
        let in_interval = Micros(now.since(next_at).0 % interval.0);
        match in_interval < CROWDED_SLOT {
            true => Micros::ZERO,
            false => interval.since(in_interval),
        }
    }

    /// Whether this box, one of `boxes`, may send a request now.
    pub fn admits(
        &self,
        boxes: u32,
        now: Micros,
    ) -> bool {
        self.admits_after(boxes, now) == Micros::ZERO
    }
}
