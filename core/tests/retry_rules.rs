//! Retries never run a non-idempotent request twice and never multiply the load.

use {
    pitchhitch_core::{
        errors::{ErrorKind, RunState},
        retry::{
            decide_retry, BackoffPolicy, FailedAttempt, OutlierGuard, RetryBudget, RetryStep,
            MAX_ATTEMPTS,
        },
        time::Micros,
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    std::collections::BTreeSet,
};

fn failed(
    kind: ErrorKind,
    repeatable: bool,
    attempts: u32,
) -> FailedAttempt {
    FailedAttempt {
        kind,
        repeatable,
        attempts,
        deadline: Micros(1_000),
        now: Micros(10),
    }
}

#[test]
fn unknown_not_retried() {
    for kind in ErrorKind::ALL {
        if kind.run_state() == RunState::Unknown {
            assert_eq!(
                decide_retry(&failed(kind, false, 1)),
                RetryStep::GiveUp,
                "{kind:?}"
            );
        }
    }
}

#[test]
fn refused_retried_elsewhere() {
    for kind in [
        ErrorKind::EndpointLeaving,
        ErrorKind::WrongVersion,
        ErrorKind::EndpointFull,
    ] {
        assert_eq!(
            decide_retry(&failed(kind, false, 1)),
            RetryStep::RetryElsewhere
        );
    }
    let lost = failed(ErrorKind::EndpointLost, true, 1);
    assert_eq!(decide_retry(&lost), RetryStep::RetryElsewhere);
}

#[test]
fn attempts_bounded() {
    let last = failed(ErrorKind::EndpointFull, true, MAX_ATTEMPTS);
    assert_eq!(decide_retry(&last), RetryStep::GiveUp);
    let mut late = failed(ErrorKind::EndpointFull, true, 1);
    late.now = late.deadline;
    assert_eq!(decide_retry(&late), RetryStep::GiveUp);
}

#[test]
fn budget_bounds_load() {
    let mut budget = RetryBudget::default();
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.earn();
        sent += 1;
        // Every attempt fails, and every failure requests a retry.
        while budget.spend() {
            sent += 1;
        }
    }
    assert!(f64::from(sent) / 10_000.0 <= 1.1 + 0.002, "{sent}");
}

#[test]
fn backoff_delay_bounded() {
    let mut random = Pcg32::seed_from_u64(1);
    let policy = BackoffPolicy::PLATFORM;
    for attempt in 1..40 {
        let delay = policy.delay(attempt, &mut random);
        assert!(delay <= policy.cap, "{delay:?}");
    }
    assert!(policy.delay(30, &mut random).0 >= policy.cap.0 / 2);
}

#[test]
fn outlier_ejected() {
    let mut guard = OutlierGuard::default();
    let now = Micros::from_secs(1);
    assert!(!guard.record_failure(now));
    assert!(!guard.record_failure(now));
    assert!(guard.record_failure(now));
    assert!(guard.is_ejected(now));
    let readmitted = Micros::from_secs(4);
    assert!(!guard.is_ejected(readmitted));
    assert!(guard.penalty(readmitted) > 1.0);
    assert_eq!(guard.penalty(Micros::from_secs(30)), 1.0);
}

#[test]
fn success_resets_failures() {
    let mut guard = OutlierGuard::default();
    let now = Micros::from_secs(1);
    for _ in 0..10 {
        assert!(!guard.record_failure(now));
        assert!(!guard.record_failure(now));
        guard.record_success(now);
    }
}

#[test]
fn error_responses_valid() {
    let mut codes = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!((400..600).contains(&response.status), "{kind:?}");
        assert!(
            codes.insert(response.code),
            "{kind:?}: code {} is used twice",
            response.code
        );
        // Responses that invite a retry state the delay.
        if response.status == 503 || response.status == 429 {
            assert!(response.retry_after.is_some(), "{kind:?}");
        }
    }
}
