//! Parts are freed only once no engine that was told to fetch them can still read them.

use {
    pitchhitch_core::{
        serving::{PartFate, PartId, ReadProofs, SwapPlanner, WeightBelief, AWAKE_GAP, HOLD_LIMIT},
        time::Micros,
    },
    std::net::SocketAddr,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn engine(place: usize) -> SocketAddr {
    ([10, 0, 0, 1], place as u16 + 1).into()
}

fn belief(version: u64) -> WeightBelief {
    let mut belief = WeightBelief::default();
    belief.learn("m", version);
    belief
}

/// Records reports of an engine between two times on the engines' clock.
fn hear(
    reads: &mut ReadProofs,
    place: usize,
    from_ms: u64,
    to_ms: u64,
) {
    for clock_ms in (from_ms..=to_ms).step_by(250) {
        reads.heard(engine(place), Some(clock_ms), at(clock_ms));
    }
}

#[test]
fn awake_engines_prove() {
    let mut reads = ReadProofs::default();
    assert_eq!(reads.over_until_ms("m", 1), u64::MAX, "there is no engine");
    hear(&mut reads, 0, 10_000, 12_500);
    assert_eq!(reads.over_until_ms("m", 1), 0, "it may just have resumed");
    hear(&mut reads, 0, 12_750, 13_000);
    assert_eq!(reads.over_until_ms("m", 1), 13_000);
    hear(&mut reads, 1, 10_000, 11_000);
    assert_eq!(reads.over_until_ms("m", 1), 0, "every engine must prove it");
    assert_eq!(reads.last_proven("m", 1), vec![engine(1)]);
}

/// A restarted engine may have older weights and fetch parts for them.
#[test]
fn restart_proves_nothing() {
    let mut reads = ReadProofs::default();
    let beliefs = [belief(2), belief(1)];
    let engines = beliefs.iter().enumerate();
    reads.know(
        engines.map(|(place, belief)| (engine(place), belief)),
        at(0),
    );
    hear(&mut reads, 0, 10_000, 13_000);
    hear(&mut reads, 1, 10_000, 13_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        13_000,
        "the first has newer weights"
    );
    reads.restarted(engine(0), at(13_000));
    assert_eq!(reads.over_until_ms("m", 1), 0);
    hear(&mut reads, 0, 13_000, 15_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        0,
        "it has not run for long enough"
    );
    hear(&mut reads, 0, 15_250, 16_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        13_000,
        "the other has not proven more"
    );
}

/// A fetch that was in progress when the engine was paused continues after it resumes.
#[test]
fn gap_begins_anew() {
    let mut reads = ReadProofs::default();
    hear(&mut reads, 0, 10_000, 13_000);
    let woken = 13_000 + AWAKE_GAP.as_millis() + 1;
    hear(&mut reads, 0, woken, woken + 2_750);
    assert_eq!(reads.over_until_ms("m", 1), 13_000);
    hear(&mut reads, 0, woken + 3_000, woken + 3_000);
    assert_eq!(reads.over_until_ms("m", 1), woken + 3_000);
    // Reports that were delayed by a pause of the box arrive late and prove nothing.
    hear(&mut reads, 0, 11_000, 12_000);
    reads.heard(engine(0), None, at(1));
    assert_eq!(reads.over_until_ms("m", 1), woken + 3_000);
}

#[test]
fn newer_weights_excused() {
    let mut reads = ReadProofs::default();
    let mut know = |beliefs: &[WeightBelief], version: u64| {
        let engines = beliefs.iter().map(|belief| (engine(0), belief));
        reads.know(engines, at(0));
        reads.over_until_ms("m", version)
    };
    let unknown = WeightBelief::default();
    assert_eq!(
        know(std::slice::from_ref(&unknown), 1),
        0,
        "it may have been told to fetch"
    );
    assert_eq!(know(&[belief(2)], 1), u64::MAX);
    assert_eq!(know(&[belief(2)], 2), 0);
    // Two engines follow each other at an address: the earlier one may still fetch.
    assert_eq!(know(&[belief(2), belief(1)], 1), 0);
    assert_eq!(know(&[belief(2), unknown], 1), 0);
    reads.forget(engine(0));
    assert_eq!(reads.over_until_ms("m", 2), u64::MAX);
}

/// Engines that ended long ago must not delay the freeing of parts at each publication.
#[test]
fn ended_engines_forgotten() {
    let mut reads = ReadProofs::default();
    hear(&mut reads, 0, 10_000, 11_000);
    reads.prune(at(11_000) + HOLD_LIMIT);
    assert_eq!(reads.over_until_ms("m", 1), 0);
    reads.prune(at(11_001) + HOLD_LIMIT);
    assert_eq!(reads.over_until_ms("m", 1), u64::MAX);
}

/// An engine that never reports again must not keep the stores full for good; a box that does not
/// know what engines were told before it started waits for as long.
#[test]
fn held_a_minute() {
    let part = PartId::parse("aa").expect("hex");
    let fate = |not_yet: Option<Micros>, over_ms: u64, now: u64| {
        let mut planner = SwapPlanner::default();
        planner.name("m", 2, not_yet, at(1_000));
        planner.fate("m", 1, part, over_ms, Some(now), at(now))
    };
    let seen = Some(at(900));
    assert_eq!(fate(seen, u64::MAX, 9_000), PartFate::Fetched);
    assert_eq!(fate(seen, u64::MAX, 20_000), PartFate::Over);
    assert_eq!(fate(seen, 9_000, 20_000), PartFate::Held);
    assert_eq!(fate(None, u64::MAX, 20_000), PartFate::Held);
    for not_yet in [seen, None] {
        assert_eq!(fate(not_yet, 0, 60_000), PartFate::Held);
        assert_eq!(fate(not_yet, 0, 80_000), PartFate::Over);
    }
}
