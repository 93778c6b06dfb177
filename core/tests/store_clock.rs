//! Earliest time for which a response of the platform store proves the content.

use {
    pitchhitch_core::{serving::StoreClock, time::Micros},
    proptest::prelude::*,
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn long_polls_dated() {
    let mut clock = StoreClock::default();
    assert_eq!(
        clock.earliest_response_time(ms(100), Some(7_002), ms(104)),
        ms(100)
    );
    // A long poll of a second: the response proves the content a moment before it arrived.
    let proven = clock.earliest_response_time(ms(105), Some(8_007), ms(1_109));
    assert!(proven >= ms(1_100) && proven <= ms(1_107), "{proven:?}");
}

#[test]
fn clock_not_reported() {
    let mut clock = StoreClock::default();
    assert_eq!(
        clock.earliest_response_time(ms(100), None, ms(104)),
        ms(100)
    );
    assert_eq!(
        clock.earliest_response_time(ms(105), None, ms(1_109)),
        ms(105)
    );
}

#[test]
fn reset_discards_bounds() {
    let mut clock = StoreClock::default();
    clock.earliest_response_time(ms(100), Some(7_002), ms(104));
    clock.reset();
    assert_eq!(
        clock.earliest_response_time(ms(105), Some(8_007), ms(1_109)),
        ms(105)
    );
}

/// One request, in milliseconds: pause before it, transit time, wait at the store, transit time
/// back.
fn request() -> impl Strategy<Value = (u64, u64, u64, u64)> {
    (0..40_000u64, 0..400u64, 0..2_000u64, 0..3_000u64)
}

proptest! {
    /// For any transit times, waits and pauses: the result is never later than the response by more
    /// than the drift of the store's clock, and never before the request.
    #[test]
    fn never_too_late(
        requests in proptest::collection::vec(request(), 1..60),
        zero in 0..1_000_000u64,
        drift_ppm in 0..50u64,
    ) {
        let mut clock = StoreClock::default();
        let mut local_us = 1_000_000u64;
        for (pause, there, hold, back) in requests {
            let sent = local_us + pause * 1_000;
            let given = sent + (there + hold) * 1_000;
            local_us = given + back * 1_000;
            let store_us = zero * 1_000 + given + given * drift_ppm / 1_000_000;
            let proven = clock.earliest_response_time(Micros(sent), Some(store_us / 1_000), Micros(local_us));
            prop_assert!(proven.0 >= sent);
            let drifted = 100_000_000 * drift_ppm / 1_000_000;
            prop_assert!(proven.0 <= given + drifted, "{} after {given}", proven.0);
        }
    }
}
