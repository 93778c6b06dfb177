//! Loads beyond the capacity of an engine, on a small model of one engine.

mod engine_sim;

use {
    engine_sim::{request, simulate, simulate_admission, Engine, TARGET_MS, USABLE_MEMORY},
    pitchhitch_core::{
        serving::{
            AdmissionController, AdmissionDecision, AdmissionRequest, EndpointChoice,
            LatencyEstimator,
        },
        time::Micros,
    },
};

/// Twice as much to prefill as an engine can handle. Without admission control all but the first
/// prompts are late; with it, most of those admitted are in time, also if the initial estimate is
/// wrong.
#[test]
fn prefill_overloaded() {
    let size = (2_400.0, 2_400.0);
    let all = simulate(24.0, 50, size, LatencyEstimator::default(), &mut |_, _| {
        true
    });
    assert!(all.in_time < 60 && all.late > 200, "{all:?}");
    for factor in [0.25, 1.0, 4.0] {
        let estimator = LatencyEstimator::with_token_ms(factor / 24.0);
        let admitted = simulate_admission(24.0, 50, size, estimator);
        assert!(admitted.in_time > all.in_time * 3, "{factor}: {admitted:?}");
        assert!(
            admitted.late * 4 < admitted.in_time,
            "{factor}: {admitted:?}"
        );
    }
}

/// Prompts that need four times the memory of an engine: most of those admitted start in time.
#[test]
fn memory_overloaded() {
    let size = (12_000.0, 4_000.0);
    let all = simulate(48.0, 100, size, LatencyEstimator::default(), &mut |_, _| {
        true
    });
    let admitted = simulate_admission(48.0, 100, size, LatencyEstimator::default());
    assert!(admitted.in_time > all.in_time * 3, "{all:?} {admitted:?}");
    assert!(admitted.late * 4 < admitted.in_time, "{admitted:?}");
}

/// Four times what an engine can prefill: some prompts are admitted all the time, and a series of
/// refusals is shorter than the time in which an engine prefills ten prompts.
#[test]
fn short_refusal_series() {
    let size = (2_400.0, 2_400.0);
    let mut controller = AdmissionController::default();
    let (mut run, mut longest) = (0, 0);
    let estimator = LatencyEstimator::with_token_ms(1.0 / 24.0);
    simulate(24.0, 25, size, estimator, &mut |choice, estimator| {
        controller.record(&request(), size.0 as u32, size.1 as u32);
        let is_admitted =
            controller.decide(&request(), estimator, choice) == AdmissionDecision::Admitted;
        run = if is_admitted { 0 } else { run + 1 };
        longest = longest.max(run);
        is_admitted
    });
    // Forty prompts arrive while an engine prefills ten.
    assert!((1..40).contains(&longest), "{longest} refusals in a row");
}

/// At half of the capacity nothing is refused.
#[test]
fn light_load_served() {
    let admitted = simulate_admission(48.0, 600, (9_000.0, 3_000.0), LatencyEstimator::default());
    assert_eq!((admitted.late, admitted.refused), (0, 0), "{admitted:?}");
}

/// With varying free memory and queues, a more urgent prompt is refused only if a less urgent one
/// of the same size is refused too.
#[test]
fn least_urgent_first() {
    let estimator = LatencyEstimator::default();
    let urgent = AdmissionRequest {
        route: "urgent",
        priority: 0,
        ..request()
    };
    let mut controller = AdmissionController::default();
    for _ in 0..100 {
        controller.record(&request(), 12_000, 4_000);
        controller.record(&urgent, 12_000, 4_000);
    }
    let (mut refused_urgent, mut refused_other) = (0, 0);
    for tenths in 0..10 {
        for waiting in 0..4 {
            let choice = EndpointChoice {
                free_tokens: Some((USABLE_MEMORY * f64::from(tenths) / 10.0) as u64),
                waiting,
                ahead_tokens: 100.0,
                queue_ms: 200.0 * f64::from(waiting),
                ..Engine::new(48.0).choice(&estimator)
            };
            let refuses = |controller: &mut AdmissionController, request: &AdmissionRequest<'_>| {
                controller.decide(request, &estimator, &choice) != AdmissionDecision::Admitted
            };
            let (refuses_other, refuses_urgent) = (
                refuses(&mut controller, &request()),
                refuses(&mut controller, &urgent),
            );
            assert!(refuses_other || !refuses_urgent, "{choice:?}");
            refused_other += u32::from(refuses_other);
            refused_urgent += u32::from(refuses_urgent);
        }
    }
    assert!(
        refused_urgent < refused_other,
        "{refused_urgent} {refused_other}"
    );
}

/// After an overload the engine accepts prompts again immediately, regardless of what the estimator
/// has learned during it.
#[test]
fn idle_engine_takes_any() {
    let mut estimator = LatencyEstimator::default();
    for _ in 0..300 {
        estimator.record_first_token(100.0, 5_000.0);
    }
    let mut controller = AdmissionController::default();
    controller.record(&request(), 12_000, 12_000);
    let idle = Engine::new(48.0).choice(&estimator);
    assert!(idle.queue_ms > TARGET_MS);
    let decision = controller.decide(&request(), &estimator, &idle);
    assert_eq!(decision, AdmissionDecision::Admitted);
}

/// If most large prompts find no memory, some of it is reserved. A caller that was refused before
/// may use it, and so takes precedence over new callers.
#[test]
fn retry_memory_reserved() {
    let estimator = LatencyEstimator::default();
    let mut controller = AdmissionController::default();
    controller.record(&request(), 12_000, 4_000);
    let with_free = |free| EndpointChoice {
        free_tokens: Some(free),
        ..Engine::new(48.0).choice(&estimator)
    };
    let decide = |controller: &mut AdmissionController, request: &AdmissionRequest<'_>, free| {
        controller.decide(request, &estimator, &with_free(free))
    };
    assert_eq!(
        decide(&mut controller, &request(), 13_000),
        AdmissionDecision::Admitted
    );
    for _ in 0..200 {
        assert_eq!(
            decide(&mut controller, &request(), 100),
            AdmissionDecision::NoMemory
        );
    }
    assert_eq!(
        decide(&mut controller, &request(), 13_000),
        AdmissionDecision::NoMemory
    );
    let retry = AdmissionRequest {
        time_left: Micros::from_secs(11),
        ..request()
    };
    assert_eq!(
        decide(&mut controller, &retry, 13_000),
        AdmissionDecision::Admitted
    );
}

/// Engines are nearly full, and half of the prompts return to an engine that has three quarters of
/// them cached. These are admitted; prompts without cached parts are not.
#[test]
fn cached_parts_admitted() {
    let estimator = LatencyEstimator::default();
    let mut controller = AdmissionController::default();
    let (mut cached, mut new) = (0, 0);
    for number in 0..40 {
        controller.record(&request(), 12_000, 3_000);
        let mut choice = EndpointChoice {
            free_tokens: Some(8_000),
            ..Engine::new(48.0).choice(&estimator)
        };
        let is_cached = number % 2 == 0;
        choice.plan.cached_tokens = if is_cached { 9_000 } else { 0 };
        let is_admitted =
            controller.decide(&request(), &estimator, &choice) == AdmissionDecision::Admitted;
        match is_cached {
            true => cached += u32::from(is_admitted),
            false => new += u32::from(is_admitted),
        }
    }
    assert_eq!((cached, new), (20, 0));
}

/// Refused callers should retry when the backlog has been processed, not earlier and not all at
/// once.
#[test]
fn backlog_retry_after() {
    let mut estimator = LatencyEstimator::with_token_ms(0.02);
    for _ in 0..200 {
        estimator.record_sent(12_000, 4_000, 60);
        estimator.record_ended(12_000, 2_000.0);
    }
    let mut controller = AdmissionController::default();
    controller.record(&request(), 12_000, 4_000);
    let retry_after = |free: u64, queue_ms: f64, jitter: f64| {
        let choice = EndpointChoice {
            free_tokens: Some(free),
            queue_ms,
            used_tokens: 60_000,
            ..Engine::new(48.0).choice(&estimator)
        };
        controller
            .retry_after(&request(), &estimator, &choice, jitter)
            .as_millis()
    };
    // 12,000 tokens at 30 per millisecond.
    assert!((350..=450).contains(&retry_after(0, 0.0, 0.0)));
    assert!(retry_after(6_000, 0.0, 0.0) < retry_after(0, 0.0, 0.0));
    assert!(retry_after(0, 1_500.0, 0.0) > 800);
    assert!(retry_after(0, 0.0, 1.0) >= retry_after(0, 0.0, 0.0) * 2 - 1);
    assert!(retry_after(0, 1.0e9, 1.0) <= 2_000, "bounded");
}
