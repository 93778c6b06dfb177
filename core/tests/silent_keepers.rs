//! Parts are saved while one of their keepers is silent, still by one request at a time.

mod save_sim;
mod store_fixture;

use {
    pitchhitch_core::serving::ClaimEnd,
    proptest::{prelude::*, test_runner::RngSeed},
    save_sim::*,
};

/// A save by the first front and a fetch by the second, while one keeper does not answer either.
fn silent_keeper(silent: usize) -> Vec<SimEvent> {
    schedule(&[
        (0, SimEvent::Cut(0, silent)),
        (1, SimEvent::Cut(1, silent)),
        (2, prompt(0, 2)),
        (10, prompt(1, 0)),
    ])
}

/// Guards against parts that are not saved as long as one of their keepers is silent.
#[test]
fn silent_keeper_saved() {
    for silent in keeper_indexes() {
        let sim = SaveSim::new(true).run(&silent_keeper(silent));
        assert_eq!((sim.fetch_count, sim.overlaps), (1, 0), "{silent}");
    }
}

/// Guards against fronts that find different keepers silent and have a part saved twice.
#[test]
fn split_keepers_refuse() {
    for first in keeper_indexes() {
        for second in keeper_indexes() {
            let events = schedule(&[
                (0, SimEvent::Cut(0, first)),
                (1, SimEvent::Cut(1, second)),
                (2, prompt(0, 40)),
                (3, prompt(1, 1)),
                (29, prompt(1, 0)),
                (32, SimEvent::RestartStore),
            ]);
            assert!(SaveSim::new(false).run(&events).overlaps > 0);
            assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
        }
    }
}

/// Guards against a keeper that has forgotten a claim and decides without the one that has not.
#[test]
fn restarted_majority_refuses() {
    let [primary, secondary, _] = keeper_indexes();
    for (restarted, silent) in [(primary, secondary), (secondary, primary)] {
        let events = schedule(&[
            (0, prompt(0, 110)),
            (5, SimEvent::RestartAgent(restarted)),
            (6, SimEvent::RestartFront(0)),
            (7, SimEvent::Cut(1, silent)),
            (75, prompt(1, 1)),
            (90, prompt(1, 0)),
            (95, SimEvent::RestartStore),
        ]);
        assert!(SaveSim::new(false).run(&events).overlaps > 0);
        assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
    }
}

/// Guards against a keeper that was silent and does not learn of claims that others granted: the
/// claim then rests on one of the two that decide, and is gone if that one restarts.
#[test]
fn returned_keeper_informed() {
    let [primary, secondary, _] = keeper_indexes();
    let events = schedule(&[
        (0, SimEvent::Cut(0, secondary)),
        (1, prompt(0, 110)),
        (3, SimEvent::Mend(0, secondary)),
        (5, SimEvent::RestartAgent(primary)),
        (6, SimEvent::RestartFront(0)),
        (75, prompt(1, 1)),
        (90, prompt(1, 0)),
        (95, SimEvent::RestartStore),
    ]);
    assert!(SaveSim::new(false).run(&events).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
}

/// Guards against a replaced keeper: those that follow it decide without the one that knows a claim.
#[test]
fn replaced_keeper_remembered() {
    for keeper in keeper_indexes() {
        let added = (AGENTS..MAX_AGENTS).find(|added| {
            let known = known_agents((0..AGENTS).chain([*added]));
            known.nearest_to(part().hash(), 2).contains(&agent(*added))
        });
        let added = added.expect("an agent that ranks first or second");
        let kept = (0..AGENTS).filter(|index| *index != keeper);
        let replaced = known_agents(kept.chain([added]));
        for silent in keeper_indexes() {
            let mut sim = SaveSim::new(true);
            sim.keepers[1] = replaced.clone();
            let previous = known_agents(0..AGENTS);
            let now = sim.now();
            sim.fronts[1].claims.reassign(&replaced, &previous, now);
            let events = schedule(&[
                (0, prompt(0, 40)),
                (9, SimEvent::Cut(1, silent)),
                (10, prompt(1, 1)),
                (29, prompt(1, 0)),
                (32, SimEvent::RestartStore),
            ]);
            assert_eq!(sim.run(&events).overlaps, 0, "{keeper} {silent}");
        }
    }
}

/// Keepers that were not asked hear of no release.
#[test]
fn unasked_keepers_untold() {
    let mut sim = SaveSim::new(true);
    let [primary, secondary, third] = keeper_indexes();
    let now = sim.now();
    let front = &mut sim.fronts[0].claims;
    let silent = [primary, secondary, third].map(agent).into();
    front.set_silent(silent, &sim.keepers[0], now);
    let number = front.begin(&[(part(), 1)], &sim.keepers[0], TIME_LEFT, now);
    front.confirm(number, now);
    front.end(number, ClaimEnd::NotRun, now);
    assert_eq!(front.take_due(|_| None, now), []);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(740),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_cuts_unfetched(events in cut_events()) {
        prop_assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
    }
}
