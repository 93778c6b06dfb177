//! Parts are freed only once no engine can still be fetching them.

use {
    pitchhitch_core::{
        serving::{
            FetchCompletion, KnownWeights, PartId, ReclaimState, SwapPlanner, MAX_REPORT_GAP,
            RECLAIM_TIMEOUT,
        },
        time::Micros,
    },
    std::net::SocketAddr,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn engine(index: usize) -> SocketAddr {
    ([10, 0, 0, 1], index as u16 + 1).into()
}

fn weights(version: u64) -> KnownWeights {
    let mut weights = KnownWeights::default();
    weights.set_version("m", version);
    weights
}

/// Records reports of an engine between two times on the engines' clock.
fn report(
    completion: &mut FetchCompletion,
    index: usize,
    from_ms: u64,
    to_ms: u64,
) {
    for clock_ms in (from_ms..=to_ms).step_by(250) {
        completion.record_report(engine(index), Some(clock_ms), at(clock_ms));
    }
}

#[test]
fn running_engines_prove() {
    let mut completion = FetchCompletion::default();
    assert_eq!(
        completion.completed_until_ms("m", 1),
        u64::MAX,
        "there is no engine"
    );
    report(&mut completion, 0, 10_000, 12_500);
    assert_eq!(
        completion.completed_until_ms("m", 1),
        0,
        "it may just have resumed"
    );
    report(&mut completion, 0, 12_750, 13_000);
    assert_eq!(completion.completed_until_ms("m", 1), 13_000);
    report(&mut completion, 1, 10_000, 11_000);
    assert_eq!(
        completion.completed_until_ms("m", 1),
        0,
        "every engine must prove it"
    );
    assert_eq!(completion.oldest_proven("m", 1), vec![engine(1)]);
}

/// A restarted engine may have older weights and fetch parts for them.
#[test]
fn restart_proves_nothing() {
    let mut completion = FetchCompletion::default();
    let engine_weights = [weights(2), weights(1)];
    let engines = engine_weights.iter().enumerate();
    completion.update_engines(
        engines.map(|(index, weights)| (engine(index), weights)),
        at(0),
    );
    report(&mut completion, 0, 10_000, 13_000);
    report(&mut completion, 1, 10_000, 13_000);
    assert_eq!(
        completion.completed_until_ms("m", 1),
        13_000,
        "the first has newer weights"
    );
    completion.record_restart(engine(0), at(13_000));
    assert_eq!(completion.completed_until_ms("m", 1), 0);
    report(&mut completion, 0, 13_000, 15_000);
    assert_eq!(
        completion.completed_until_ms("m", 1),
        0,
        "it has not run for long enough"
    );
    report(&mut completion, 0, 15_250, 16_000);
    assert_eq!(
        completion.completed_until_ms("m", 1),
        13_000,
        "the other has not proven more"
    );
}

/// A fetch that was in progress when the engine was paused continues after it resumes.
#[test]
fn pause_restarts_period() {
    let mut completion = FetchCompletion::default();
    report(&mut completion, 0, 10_000, 13_000);
    let resumed = 13_000 + MAX_REPORT_GAP.as_millis() + 1;
    report(&mut completion, 0, resumed, resumed + 2_750);
    assert_eq!(completion.completed_until_ms("m", 1), 13_000);
    report(&mut completion, 0, resumed + 3_000, resumed + 3_000);
    assert_eq!(completion.completed_until_ms("m", 1), resumed + 3_000);
    // Reports that were delayed by a pause of the box arrive late and prove nothing.
    report(&mut completion, 0, 11_000, 12_000);
    completion.record_report(engine(0), None, at(1));
    assert_eq!(completion.completed_until_ms("m", 1), resumed + 3_000);
}

#[test]
fn newer_weights_excluded() {
    let mut completion = FetchCompletion::default();
    let mut update = |engine_weights: &[KnownWeights], version: u64| {
        let engines = engine_weights.iter().map(|weights| (engine(0), weights));
        completion.update_engines(engines, at(0));
        completion.completed_until_ms("m", version)
    };
    let unknown = KnownWeights::default();
    assert_eq!(
        update(std::slice::from_ref(&unknown), 1),
        0,
        "it may be fetching"
    );
    assert_eq!(update(&[weights(2)], 1), u64::MAX);
    assert_eq!(update(&[weights(2)], 2), 0);
    // Two engines follow each other at an address: the earlier one may still fetch.
    assert_eq!(update(&[weights(2), weights(1)], 1), 0);
    assert_eq!(update(&[weights(2), unknown], 1), 0);
    completion.forget(engine(0));
    assert_eq!(completion.completed_until_ms("m", 2), u64::MAX);
}

/// Engines that ended long ago must not delay the freeing of parts at each publication.
#[test]
fn ended_engines_forgotten() {
    let mut completion = FetchCompletion::default();
    report(&mut completion, 0, 10_000, 11_000);
    completion.prune(at(11_000) + RECLAIM_TIMEOUT);
    assert_eq!(completion.completed_until_ms("m", 1), 0);
    completion.prune(at(11_001) + RECLAIM_TIMEOUT);
    assert_eq!(completion.completed_until_ms("m", 1), u64::MAX);
}

/// An engine that never reports again must not block space in the stores permanently; a box that
/// does not know which fetches were requested before it started waits for the same time.
#[test]
fn reclaimed_after_timeout() {
    let part = PartId::parse("aa").expect("hex");
    let state = |last_absent_at: Option<Micros>, completed_until_ms: u64, now: u64| {
        let mut planner = SwapPlanner::default();
        planner.publish("m", 2, last_absent_at, at(1_000));
        planner.reclaim_state("m", 1, part, completed_until_ms, Some(now), at(now))
    };
    let absent_at = Some(at(900));
    assert_eq!(state(absent_at, u64::MAX, 9_000), ReclaimState::Fetchable);
    assert_eq!(
        state(absent_at, u64::MAX, 20_000),
        ReclaimState::Reclaimable
    );
    assert_eq!(state(absent_at, 9_000, 20_000), ReclaimState::Draining);
    assert_eq!(state(None, u64::MAX, 20_000), ReclaimState::Draining);
    for last_absent_at in [absent_at, None] {
        assert_eq!(state(last_absent_at, 0, 60_000), ReclaimState::Draining);
        assert_eq!(state(last_absent_at, 0, 80_000), ReclaimState::Reclaimable);
    }
}
