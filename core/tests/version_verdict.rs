//! The comparison of two software versions by their answers.

use pitchhitch_core::rollout::{
    judge_versions, AnswerOutcome, OutcomeCounts, RolloutStage, VersionArm, VersionVerdict,
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
        counts.record(route, arm, outcome, RolloutStage::Comparison);
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

/// Adds answers of one route: numbers of answers and their latencies.
fn add_latencies(
    counts: &mut OutcomeCounts,
    arm: VersionArm,
    stage: RolloutStage,
    latencies: &[(u32, f64)],
) {
    for (number, latency) in latencies {
        for _ in 0..*number {
            counts.record("r", arm, AnswerOutcome::Answered(*latency), stage);
        }
    }
}

/// Guards against a version with a slow third that is not found while the baseline's slowest
/// answers, under load, take as long.
#[test]
fn slow_third_under_load() {
    let mut counts = OutcomeCounts::default();
    let baseline = [
        (680, 9.0),
        (230, 14.0),
        (90, 18.0),
        (66, 27.0),
        (38, 38.0),
        (22, 70.0),
    ];
    let target = [(48, 9.0), (20, 14.0), (6, 18.0), (4, 27.0), (44, 52.0)];
    let stage = RolloutStage::Comparison;
    add_latencies(&mut counts, VersionArm::Baseline, stage, &baseline);
    add_latencies(&mut counts, VersionArm::Target, stage, &target);
    assert!(is_worse(&counts));
}

/// Guards against a good version that is condemned for a moment in which all endpoints were slow and
/// the ramp sent it most requests.
#[test]
fn slow_moment_in_ramp() {
    let mut counts = OutcomeCounts::default();
    let (comparison, ramp) = (RolloutStage::Comparison, RolloutStage::Ramp);
    let (baseline, target) = (VersionArm::Baseline, VersionArm::Target);
    add_latencies(
        &mut counts,
        baseline,
        comparison,
        &[(1_580, 6.0), (5, 19.0)],
    );
    add_latencies(&mut counts, baseline, ramp, &[(24, 6.0), (5, 19.0)]);
    add_latencies(&mut counts, target, comparison, &[(75, 6.0)]);
    add_latencies(&mut counts, target, ramp, &[(72, 6.0), (15, 19.0)]);
    assert!(!is_worse(&counts));
}

/// Guards against a good version that is condemned because its few answers fell into the moments in
/// which the machine was busy.
#[test]
fn busy_moments() {
    let mut counts = OutcomeCounts::default();
    let stage = RolloutStage::Comparison;
    let baseline = [
        (581, 9.0),
        (205, 14.0),
        (142, 19.0),
        (46, 27.0),
        (27, 38.0),
        (3, 70.0),
    ];
    let target = [(17, 9.0), (11, 14.0), (7, 19.0), (5, 27.0), (7, 38.0)];
    add_latencies(&mut counts, VersionArm::Baseline, stage, &baseline);
    add_latencies(&mut counts, VersionArm::Target, stage, &target);
    assert!(!is_worse(&counts));
}

/// Guards against a version that is slow only while it gets most requests.
#[test]
fn slow_in_ramp() {
    let mut counts = OutcomeCounts::default();
    let (comparison, ramp) = (RolloutStage::Comparison, RolloutStage::Ramp);
    let baseline = VersionArm::Baseline;
    add_latencies(
        &mut counts,
        baseline,
        comparison,
        &[(3_188, 5.0), (12, 14.0)],
    );
    add_latencies(&mut counts, baseline, ramp, &[(100, 5.0)]);
    add_latencies(&mut counts, VersionArm::Target, comparison, &[(160, 5.0)]);
    add_latencies(
        &mut counts,
        VersionArm::Target,
        ramp,
        &[(100, 5.0), (47, 14.0)],
    );
    assert!(is_worse(&counts));
}

/// Counts of many routes stay bounded, and none is lost.
#[test]
fn many_routes() {
    let mut counts = OutcomeCounts::default();
    for route in 0..500 {
        let outcome = AnswerOutcome::Answered(1.0);
        let route = format!("r{route}");
        counts.record(
            &route,
            VersionArm::Target,
            outcome,
            RolloutStage::Comparison,
        );
    }
    assert!(counts.routes.len() <= 65);
    assert_eq!(counts.sum().target.total, 500);
}
