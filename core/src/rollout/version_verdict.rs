use super::{AnswerCounts, LatencyCounts, OutcomeCounts, RouteOutcomes};

/// Number of standard deviations by which the target must be worse than the baseline. Both are
/// compared many times during a roll-out, so a usual level of significance would reject one good
/// version in ten.
const MIN_DEVIATIONS: f64 = 3.5;
/// Minimum number of bad answers of the target.
const MIN_BAD: f64 = 5.0;
/// Minimum difference between the shares of bad answers.
const MIN_DIFFERENCE: f64 = 0.05;
/// The same for answers that are slow by the usual latency of the baseline, which changes with the
/// load from moment to moment.
const MIN_USUAL_DIFFERENCE: f64 = 0.2;
/// Bad answers and answers that are added to the baseline: a share observed as zero is uncertain.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_TOTAL: f64 = 25.0;
/// Shares of the baseline's answers that are slower than those with which slow ones are compared,
/// and the minimum difference for each: a version may be slower than the slowest of the baseline, or
/// often slower than usual.
const SLOW_LIMITS: [(f64, f64); 2] = [(0.05, MIN_DIFFERENCE), (0.25, MIN_USUAL_DIFFERENCE)];
/// Buckets beyond such an answer of the baseline from which an answer counts as slow: twice
/// the latency.
const SLOW_BUCKETS: usize = 2;
/// Minimum number of answers of the baseline that show which answers are slow.
const MIN_BASELINE_ANSWERS: u32 = 20;

/// Result of the comparison of two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionVerdict {
    /// The target is not worse, as far as the counts show.
    NotWorse,
    /// The target fails or is slow more often than the baseline.
    Worse(VersionFault),
}

/// What is worse at the target version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionFault {
    /// Route; `None` if it shows over all routes together.
    pub route: Option<String>,
    /// `failures` or `slow`.
    pub kind: &'static str,
    /// Bad answers and answers of the target.
    pub target: (u32, u32),
    /// Bad answers and answers of the baseline.
    pub baseline: (u32, u32),
}

/// Compares the versions on each route and over all routes.
pub fn judge_versions(counts: &OutcomeCounts) -> VersionVerdict {
    let sum = counts.sum();
    let routes = counts.routes.iter();
    let named = routes.map(|(route, outcomes)| (Some(route.clone()), outcomes));
    let fault = named
        .chain([(None, &sum)])
        .find_map(|(route, outcomes)| find_fault(route, outcomes));
    fault.map_or(VersionVerdict::NotWorse, VersionVerdict::Worse)
}

fn find_fault(
    route: Option<String>,
    outcomes: &RouteOutcomes,
) -> Option<VersionFault> {
    let failed = |counts: &AnswerCounts| (counts.failed, counts.total);
    let (target, baseline) = (failed(&outcomes.target), failed(&outcomes.baseline));
    if is_worse(target, baseline, MIN_DIFFERENCE) {
        return Some(VersionFault {
            route,
            kind: "failures",
            target,
            baseline,
        });
    }
    // Latencies of several routes cannot be compared in sum: the mix of routes may differ.
    let route = Some(route?);
    let (target, baseline) = (&outcomes.target, &outcomes.baseline);
    let stages = [
        (&target.latencies, &baseline.latencies),
        (&target.ramp_latencies, &baseline.ramp_latencies),
    ];
    let slow_counts = stages.into_iter().find_map(find_slowness);
    let (target, baseline) = slow_counts?;
    Some(VersionFault {
        route,
        kind: "slow",
        target,
        baseline,
    })
}

/// Slow answers and answers of both versions, if the target is slower than the baseline.
fn find_slowness(
    (target, baseline): (&LatencyCounts, &LatencyCounts)
) -> Option<((u32, u32), (u32, u32))> {
    if baseline.total() < MIN_BASELINE_ANSWERS {
        return None;
    }
    SLOW_LIMITS.iter().find_map(|(share, min_difference)| {
        let bucket = baseline.bucket_at(*share) + SLOW_BUCKETS;
        let slow = |counts: &LatencyCounts| (counts.slower_than(bucket), counts.total());
        let (target, baseline) = (slow(target), slow(baseline));
        is_worse(target, baseline, *min_difference).then_some((target, baseline))
    })
}

/// Whether the target's share of bad answers is larger than can be explained by chance.
fn is_worse(
    (target_bad, target_total): (u32, u32),
    (baseline_bad, baseline_total): (u32, u32),
    min_difference: f64,
) -> bool {
    let (bad, total) = (f64::from(target_bad), f64::from(target_total));
    if bad < MIN_BAD {
        return false;
    }
    let expected_share =
        (f64::from(baseline_bad) + PRIOR_BAD) / (f64::from(baseline_total) + PRIOR_TOTAL);
    let expected = total * expected_share;
    let deviation = (expected * (1.0 - expected_share)).sqrt();
    bad > expected + MIN_DEVIATIONS * deviation && bad / total > expected_share + min_difference
}
