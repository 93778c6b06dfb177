//! Requests that leave endpoints which stop together.

use pitchhitch_core::{
    serving::{FailoverLimit, FailoverRequest},
    time::Micros,
};

const NOW: Micros = Micros::from_secs(100);

fn request() -> FailoverRequest {
    FailoverRequest {
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
    limit: &mut FailoverLimit,
    request: &FailoverRequest,
    now: Micros,
) -> usize {
    (0..20).filter(|_| limit.try_admit(request, now)).count()
}

/// Guards against prompts of all boxes that meet at the engines that are left: two boxes for each
/// engine, which has room for four of their prompts.
#[test]
fn room_shared() {
    let mut limit = FailoverLimit::default();
    assert_eq!(count_admitted(&mut limit, &request(), NOW), 2);
    let later = NOW + Micros::from_millis(999);
    assert_eq!(count_admitted(&mut limit, &request(), later), 0);
    let next = NOW + Micros::from_secs(1);
    assert_eq!(count_admitted(&mut limit, &request(), next), 2);
}

/// Guards against prompts that are sent on although their callers leave before they begin.
#[test]
fn time_shared() {
    let mut limit = FailoverLimit::default();
    let unlimited = FailoverRequest {
        free_tokens: None,
        ..request()
    };
    assert_eq!(count_admitted(&mut limit, &unlimited, NOW), 5);
    let late = FailoverRequest {
        time_left: Micros::from_millis(300),
        ..request()
    };
    assert_eq!(count_admitted(&mut FailoverLimit::default(), &late, NOW), 0);
}

/// Guards against a single box that refuses what its endpoints have room for.
#[test]
fn single_box() {
    let alone = FailoverRequest {
        boxes: 1,
        endpoints: 4,
        ..request()
    };
    assert_eq!(
        count_admitted(&mut FailoverLimit::default(), &alone, NOW),
        17
    );
}
