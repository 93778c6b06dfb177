//! Requests that leave endpoints which stop together.

use pitchhitch_core::{
    serving::{LeftRequest, LeftWave},
    time::Micros,
};

const NOW: Micros = Micros::from_secs(100);

fn request() -> LeftRequest {
    LeftRequest {
        boxes: 30,
        endpoints: 15,
        tokens: 9_000,
        free_tokens: Some(40_000),
        queue_ms: 100.0,
        prefill_ms: 100.0,
        time_left: Micros::from_millis(2_400),
    }
}

fn count_admitted(
    wave: &mut LeftWave,
    request: &LeftRequest,
    now: Micros,
) -> usize {
    (0..20).filter(|_| wave.try_admit(request, now)).count()
}

/// Guards against prompts of all boxes that meet at the engines that are left: two boxes for each
/// engine, which has room for four of their prompts.
#[test]
fn room_shared() {
    let mut wave = LeftWave::default();
    assert_eq!(count_admitted(&mut wave, &request(), NOW), 2);
    let later = NOW + Micros::from_millis(999);
    assert_eq!(count_admitted(&mut wave, &request(), later), 0);
    let next = NOW + Micros::from_secs(1);
    assert_eq!(count_admitted(&mut wave, &request(), next), 2);
}

/// Guards against prompts that are sent on although their callers leave before they begin.
#[test]
fn time_shared() {
    let mut wave = LeftWave::default();
    let unlimited = LeftRequest {
        free_tokens: None,
        ..request()
    };
    assert_eq!(count_admitted(&mut wave, &unlimited, NOW), 5);
    let late = LeftRequest {
        time_left: Micros::from_millis(300),
        ..request()
    };
    assert_eq!(count_admitted(&mut LeftWave::default(), &late, NOW), 0);
}

/// Guards against a single box that refuses what its endpoints have room for.
#[test]
fn single_box() {
    let alone = LeftRequest {
        boxes: 1,
        endpoints: 4,
        ..request()
    };
    assert_eq!(count_admitted(&mut LeftWave::default(), &alone, NOW), 17);
}
