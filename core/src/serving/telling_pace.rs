//! How often fronts and the processes beside engines tell each other something. Each tells all
//! of the others, so the pause grows with how many these are: what one process pays a second
//! stays bounded, at the cost of the age of what is known.

use crate::time::Micros;

/// Shares of a second that one front takes of a process beside an engine: it sends some 300
/// digests a second at most.
const DIGEST_SHARE: Micros = Micros(3_300);
/// Pauses between two digests at least and at most: a report counts for 1.5 s, and one digest
/// may get lost.
const DIGEST_PAUSES: (Micros, Micros) = (Micros::from_millis(45), Micros::from_millis(600));
/// Shares of a second that one engine takes of a front.
const GREETING_SHARE: Micros = Micros::from_millis(10);
/// Pauses between two greetings at least and at most.
const GREETING_PAUSES: (Micros, Micros) = (Micros::from_millis(400), Micros::from_millis(1_800));

/// Time that a digest of one of many engines may wait.
const HEARING_SHARE: Micros = Micros(200);
/// Shortest and longest wait of digests.
const LEAST_HEARING: Micros = Micros::from_millis(6);
const LONGEST_HEARING: Micros = Micros::from_millis(40);

/// Pause between two digests of a process that tells so many fronts.
pub fn digest_pause(fronts: usize) -> Micros {
    paced(DIGEST_SHARE, fronts, DIGEST_PAUSES)
}

/// Pause between two greetings of a front that greets so many engines.
pub fn greeting_pause(engines: usize) -> Micros {
    paced(GREETING_SHARE, engines, GREETING_PAUSES)
}

/// Pause between two looks of a front at what so many engines have told; few are heard at once.
/// Each look costs about as much as a digest, and finds many.
pub fn hearing_pause(engines: usize) -> Micros {
    let pause = Micros(HEARING_SHARE.0 * engines as u64).min(LONGEST_HEARING);
    match pause < LEAST_HEARING {
        true => Micros::ZERO,
        false => pause,
    }
}

/// Pause of a front that greets an engine which must hear of it soon: that it is to load, or
/// that what it keeps is not known.
pub fn urgent_greeting_pause() -> Micros {
    GREETING_PAUSES.0
}

fn paced(
    share: Micros,
    count: usize,
    (least, most): (Micros, Micros),
) -> Micros {
    Micros(share.0 * count as u64).max(least).min(most)
}
