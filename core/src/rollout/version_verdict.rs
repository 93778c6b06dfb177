use super::{AnswerCounts, LatencyCounts, OutcomeCounts, RouteOutcomes};

/// Number of standard deviations by which the target must be worse than the baseline. Both are
/// compared many times during a roll-out, so a usual level of significance would reject one good
/// version in ten.
const MIN_DEVIATIONS: f64 = 3.5;
/// Minimum number of bad answers of the target.
const MIN_BAD: f64 = 5.0;
/// Minimum difference between the shares of bad answers.
const MIN_DIFFERENCE: f64 = 0.05;
/// Bad answers and answers that are added to the baseline: a share observed as zero is uncertain.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_TOTAL: f64 = 25.0;
/// Shares of the baseline's answers that are slower than those with which slow ones are compared: a
/// version may be slow at all times, or beyond what the baseline usually takes under load.
const SLOW_SHARES: [f64; 2] = [0.05, 0.25];
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
    if is_worse(target, baseline) {
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
    let pairs = stages.into_iter().flat_map(|stage| {
        let pairs = SLOW_SHARES.map(|share| slow_counts(stage, share));
        pairs.into_iter().flatten()
    });
    let (target, baseline) = { pairs }.find(|(target, baseline)| is_worse(*target, *baseline))?;
    Some(VersionFault {
        route,
        kind: "slow",
        target,
        baseline,
    })
}

/// Slow answers and answers of both versions, if the baseline shows which answers are slow.
fn slow_counts(
    (target, baseline): (&LatencyCounts, &LatencyCounts),
    share: f64,
) -> Option<((u32, u32), (u32, u32))> {
    if baseline.total() < MIN_BASELINE_ANSWERS {
        return None;
    }
    let bucket = baseline.bucket_at(share) + SLOW_BUCKETS;
    let slow = |counts: &LatencyCounts| (counts.slower_than(bucket), counts.total());
    Some((slow(target), slow(baseline)))
}

/// Whether the target's share of bad answers is larger than can be explained by chance.
fn is_worse(
    (target_bad, target_total): (u32, u32),
    (baseline_bad, baseline_total): (u32, u32),
) -> bool {
    let (bad, total) = (f64::from(target_bad), f64::from(target_total));
    if bad < MIN_BAD {
        return false;
    }
    let expected_share =
        (f64::from(baseline_bad) + PRIOR_BAD) / (f64::from(baseline_total) + PRIOR_TOTAL);
    let expected = total * expected_share;
    let deviation = (expected * (1.0 - expected_share)).sqrt();
    bad > expected + MIN_DEVIATIONS * deviation && bad / total > expected_share + MIN_DIFFERENCE
}
