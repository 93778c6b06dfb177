//! How often fronts and the processes beside engines tell each other something. Each tells all
//! of the others, so the pause grows with how many these are: what one process pays a second
//! stays bounded, at the cost of the age of what is known.

use crate::time::Micros;

/// Shares of a second that one front takes of a process beside an engine: it sends some 300
/// digests a second at max.
const DIGEST_INTERVAL_PER_FRONT: Micros = Micros(3_300);
/// Pauses between two digests at min and at max: a report counts for 1.5 s, and one digest
/// may get lost.
const DIGEST_INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(45), Micros::from_millis(600));
/// Shares of a second that one engine takes of a front.
const GREETING_INTERVAL_PER_ENGINE: Micros = Micros::from_millis(10);
/// Pauses between two greetings at min and at max.
const GREETING_INTERVAL_RANGE: (Micros, Micros) =
    (Micros::from_millis(400), Micros::from_millis(1_800));

/// Time that a digest of one of many engines may wait.
const READ_INTERVAL_PER_ENGINE: Micros = Micros(200);
/// Shortest and longest wait of digests.
const MIN_READ_INTERVAL: Micros = Micros::from_millis(6);
const MAX_READ_INTERVAL: Micros = Micros::from_millis(40);

/// Pause between two digests of a process that tells so many fronts.
pub fn digest_interval(fronts: usize) -> Micros {
    scaled_interval(DIGEST_INTERVAL_PER_FRONT, fronts, DIGEST_INTERVAL_RANGE)
}

/// Pause between two greetings of a front that greets so many engines.
pub fn greeting_interval(engines: usize) -> Micros {
    scaled_interval(
        GREETING_INTERVAL_PER_ENGINE,
        engines,
        GREETING_INTERVAL_RANGE,
    )
}

/// Pause between two looks of a front at what so many engines have told; few are heard at once.
/// Each look costs about as much as a digest, and finds many.
pub fn digest_read_interval(engines: usize) -> Micros {
    let interval = Micros(READ_INTERVAL_PER_ENGINE.0 * engines as u64).min(MAX_READ_INTERVAL);
    match interval < MIN_READ_INTERVAL {
        true => Micros::ZERO,
        false => interval,
    }
}

/// Pause of a front that greets an engine which must hear of it soon: that it is to load, or
/// that what it keeps is not known.
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
