//! From when on an answer of the platform's store proves what was in force.

use {
    pitchhitch_core::{serving::StoreClock, time::Micros},
    proptest::prelude::*,
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn held_answer_dated() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.proof_time(ms(100), Some(7_002), ms(104)), ms(100));
    // Held for a second: it proves what was in force a moment before it came.
    let proven = clock.proof_time(ms(105), Some(8_007), ms(1_109));
    assert!(proven >= ms(1_100) && proven <= ms(1_107), "{proven:?}");
}

#[test]
fn untold_clock_unused() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.proof_time(ms(100), None, ms(104)), ms(100));
    assert_eq!(clock.proof_time(ms(105), None, ms(1_109)), ms(105));
}

#[test]
fn reset_forgets() {
    let mut clock = StoreClock::default();
    clock.proof_time(ms(100), Some(7_002), ms(104));
    clock.reset();
    assert_eq!(clock.proof_time(ms(105), Some(8_007), ms(1_109)), ms(105));
}

/// One question: pause before it, the way to the store, the hold there, the way back, in
/// milliseconds.
fn question() -> impl Strategy<Value = (u64, u64, u64, u64)> {
    (0..40_000u64, 0..400u64, 0..2_000u64, 0..3_000u64)
}

proptest! {
    /// Whatever the ways, holds and standstills: never later than the store gave the answer, by
    /// more than its clock may have drifted, and never before the question.
    #[test]
    fn never_too_late(
        questions in proptest::collection::vec(question(), 1..60),
        zero in 0..1_000_000u64,
        drift_ppm in 0..50u64,
    ) {
        let mut clock = StoreClock::default();
        let mut local_us = 1_000_000u64;
        for (pause, there, hold, back) in questions {
            let sent = local_us + pause * 1_000;
            let given = sent + (there + hold) * 1_000;
            local_us = given + back * 1_000;
            let store_us = zero * 1_000 + given + given * drift_ppm / 1_000_000;
            let proven = clock.proof_time(Micros(sent), Some(store_us / 1_000), Micros(local_us));
            prop_assert!(proven.0 >= sent);
            let drifted = 100_000_000 * drift_ppm / 1_000_000;
            prop_assert!(proven.0 <= given + drifted, "{} after {given}", proven.0);
        }
    }
}
