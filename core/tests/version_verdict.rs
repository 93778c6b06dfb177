//! The comparison of two software versions by their answers.

use pitchhitch_core::rollout::{
    judge_versions, AnswerOutcome, OutcomeCounts, VersionArm, VersionVerdict,
};

/// Counts of answers on one route: for each version, how many there are, how many of them failed,
/// and how many took `slow` times as long.
fn counts(
    baseline: (u32, u32),
    target: (u32, u32, u32),
    slow: f64,
) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    add_answers(&mut counts, "r", VersionArm::Baseline, baseline, (0, 1.0));
    let (total, failed, slow_count) = target;
    add_answers(
        &mut counts,
        "r",
        VersionArm::Target,
        (total, failed),
        (slow_count, slow),
    );
    counts
}

fn add_answers(
    counts: &mut OutcomeCounts,
    route: &str,
    arm: VersionArm,
    (total, failed): (u32, u32),
    (slow_count, slow): (u32, f64),
) {
    for number in 0..total {
        let outcome = match number {
            number if number < failed => AnswerOutcome::Failed,
            number => {
                // Latencies of a service vary by a factor of three.
                let usual = 10.0 * (1.0 + f64::from(number % 20) / 10.0);
                let factor = if number < failed + slow_count {
                    slow
                } else {
                    1.0
                };
                AnswerOutcome::Answered(usual * factor)
            }
        };
        counts.record(route, arm, outcome);
    }
}

fn is_worse(counts: &OutcomeCounts) -> bool {
    judge_versions(counts) != VersionVerdict::NotWorse
}

#[test]
fn equal_versions() {
    for target in [10, 40, 400] {
        assert!(!is_worse(&counts((4_000, 0), (target, 0, 0), 1.0)));
    }
    // The baseline fails now and then, and so does the target.
    assert!(!is_worse(&counts((4_000, 560), (100, 18, 0), 1.0)));
    assert!(!is_worse(&counts((4_000, 16), (200, 3, 0), 1.0)));
}

#[test]
fn failing_target() {
    assert!(is_worse(&counts((1_000, 0), (30, 9, 0), 1.0)));
    assert!(is_worse(&counts((1_000, 0), (8, 8, 0), 1.0)));
    assert!(is_worse(&counts((1_000, 140), (60, 30, 0), 1.0)));
    // Even without any answer of the baseline.
    assert!(is_worse(&counts((0, 0), (12, 12, 0), 1.0)));
}

#[test]
fn slow_target() {
    assert!(is_worse(&counts((1_000, 0), (60, 0, 60), 4.0)));
    assert!(is_worse(&counts((1_000, 0), (90, 0, 30), 5.0)));
    assert!(!is_worse(&counts((1_000, 0), (200, 0, 200), 1.2)));
}

/// A fault on one route shows beside another one with many good answers.
#[test]
fn faulty_route() {
    let mut counts = counts((2_000, 0), (100, 0, 0), 1.0);
    add_answers(&mut counts, "s", VersionArm::Baseline, (300, 0), (0, 1.0));
    add_answers(&mut counts, "s", VersionArm::Target, (15, 6), (0, 1.0));
    match judge_versions(&counts) {
        VersionVerdict::Worse(fault) => assert_eq!(fault.route.as_deref(), Some("s")),
        VersionVerdict::NotWorse => panic!("the fault was not found"),
    }
}

/// Counts of many routes stay bounded, and none is lost.
#[test]
fn many_routes() {
    let mut counts = OutcomeCounts::default();
    for route in 0..500 {
        let outcome = AnswerOutcome::Answered(1.0);
        counts.record(&format!("r{route}"), VersionArm::Target, outcome);
    }
    assert!(counts.routes.len() <= 65);
    assert_eq!(counts.sum().target.total, 500);
}
