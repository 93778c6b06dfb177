//! Intervals of messages between fronts and the agents of engines. Each sender reports to all
//! receivers, so the interval grows with their number: the cost per second of a process stays
//! bounded, at the expense of the age of the reported state.

use crate::time::Micros;

/// Digest interval per receiving front: an agent sends about 300 digests a second at most.
const DIGEST_INTERVAL_PER_FRONT: Micros = Micros(3_300);
/// Minimum and maximum digest interval: a report is valid for 1.5 s, and one digest may get lost.
const DIGEST_INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(45), Micros::from_millis(600));
/// Minimum digest interval where relays are used: each relay passes on several digests in every
/// interval, and each front receives those of all engines.
const RELAYED_DIGEST_INTERVAL: Micros = Micros::from_millis(400);
/// Greeting interval of a front per engine.
const GREETING_INTERVAL_PER_ENGINE: Micros = Micros::from_millis(10);
/// Minimum and maximum greeting interval.
const GREETING_INTERVAL_RANGE: (Micros, Micros) =
    (Micros::from_millis(400), Micros::from_millis(1_800));

/// Time per engine that a received digest may wait.
const READ_INTERVAL_PER_ENGINE: Micros = Micros(200);
/// Minimum and maximum time that received digests wait.
const MIN_READ_INTERVAL: Micros = Micros::from_millis(6);
const MAX_READ_INTERVAL: Micros = Micros::from_millis(40);

/// Interval between digests of an agent that reports to this many fronts.
pub fn digest_interval(fronts: usize) -> Micros {
    scaled_interval(DIGEST_INTERVAL_PER_FRONT, fronts, DIGEST_INTERVAL_RANGE)
}

/// Interval between digests of an agent for which relays pass digests on; a digest takes this many
/// datagrams.
pub fn relayed_digest_interval(datagrams: usize) -> Micros {
    digest_interval(datagrams).max(RELAYED_DIGEST_INTERVAL)
}

/// Interval between greetings of a front to this many engines.
pub fn greeting_interval(engines: usize) -> Micros {
    scaled_interval(
        GREETING_INTERVAL_PER_ENGINE,
        engines,
        GREETING_INTERVAL_RANGE,
    )
}

/// Interval at which a front reads the received digests of this many engines; with few engines it
/// reads each immediately. A read costs about as much as handling one digest, and returns many.
pub fn digest_read_interval(engines: usize) -> Micros {
    let interval = Micros(READ_INTERVAL_PER_ENGINE.0 * engines as u64).min(MAX_READ_INTERVAL);
    match interval < MIN_READ_INTERVAL {
        true => Micros::ZERO,
        false => interval,
    }
}

/// Interval between greetings to an engine that must be notified soon: it is to load weights, or
/// its cached parts are unknown.
pub fn urgent_greeting_interval() -> Micros {
    GREETING_INTERVAL_RANGE.0
}

fn scaled_interval(
    per_peer: Micros,
    count: usize,
    (min, max): (Micros, Micros),
) -> Micros {
    Micros(per_peer.0 * count as u64).max(min).min(max)
}
