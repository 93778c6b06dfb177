//! Engines carry out saves late, and the store, agents or fronts restart meanwhile.

mod save_sim;
mod store_fixture;

use {
    pitchhitch_core::serving::ClaimEnd,
    proptest::{prelude::*, test_runner::RngSeed},
    save_sim::*,
};

/// Two fronts order the same save, and the later one is carried out after a restart of the store.
fn duplicate_saves() -> Vec<SimEvent> {
    schedule(&[
        (0, prompt(0, 40)),
        (10, prompt(1, 1)),
        (29, prompt(1, 0)),
        (32, SimEvent::RestartStore),
    ])
}

/// Guards against a save that rewrites a part, after a restart of its store, under fetches that
/// fronts had requested before.
#[test]
fn late_save_unfetched() {
    assert!(SaveSim::new(false).run(&duplicate_saves()).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&duplicate_saves()).overlaps, 0);
}

/// A part that no other request is to save is saved and fetched, also after a restart of the store.
#[test]
fn sole_save_fetched() {
    let events = schedule(&[
        (0, prompt(0, 2)),
        (10, prompt(1, 0)),
        (20, SimEvent::RestartStore),
        (100, prompt(2, 2)),
        (110, prompt(0, 0)),
    ]);
    let sim = SaveSim::new(true).run(&events);
    assert_eq!((sim.fetch_count, sim.overlaps), (2, 0));
}

/// A front that missed the event does not rewrite a part that the store has.
#[test]
fn missed_event_unsaved() {
    let missing = |delay| SimEvent::Prompt {
        front: 1,
        delay,
        lag: None,
    };
    let events = schedule(&[
        (0, prompt(0, 2)),
        (1, missing(30)),
        (100, missing(40)),
        (120, prompt(2, 0)),
        (125, SimEvent::RestartStore),
    ]);
    assert!(SaveSim::new(false).run(&events).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
}

/// Agents that restart while a save is outstanding do not grant it again.
#[test]
fn restarted_keepers_refuse() {
    let events = schedule(&[
        (0, prompt(0, 110)),
        (5, SimEvent::RestartAgent(0)),
        (6, SimEvent::RestartAgent(1)),
        (7, SimEvent::RestartAgent(2)),
        (75, prompt(1, 1)),
        (90, prompt(2, 0)),
        (95, SimEvent::RestartStore),
    ]);
    assert!(SaveSim::new(false).run(&events).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
}

/// Of two fronts, one knows an agent that the other does not, and it is the part's primary keeper.
#[test]
fn unknown_keeper_harmless() {
    let mut sim = SaveSim::new(true);
    let added = (AGENTS..MAX_AGENTS).find(|added| {
        let known = known_agents((0..AGENTS).chain([*added]));
        known.nearest_to(part().hash(), 1) == [agent(*added)]
    });
    let added = added.expect("an agent that ranks first");
    sim.keepers[1] = known_agents((0..AGENTS).chain([added]));
    assert_eq!(sim.run(&duplicate_saves()).overlaps, 0);
}

/// The claims of a request that never ran are free at once; those of one that may still run are not.
#[test]
fn unsent_claim_released() {
    let mut sim = SaveSim::new(true).run(&vec![SimEvent::Nothing; 80]);
    for (end, is_free) in [(ClaimEnd::Unknown, false), (ClaimEnd::NotRun, true)] {
        let now = sim.now();
        let claims = &mut sim.fronts[0].claims;
        let number = claims.begin(&[(part(), 1)], &sim.keepers[0], TIME_LEFT, now);
        sim.exchange();
        assert_eq!(sim.fronts[0].claims.confirm(number, now).0, [part()]);
        sim.fronts[0].claims.end(number, end, now);
        sim.exchange();
        let other = sim.fronts[1]
            .claims
            .begin(&[(part(), 1)], &sim.keepers[0], TIME_LEFT, now);
        sim.exchange();
        let (confirmed, _) = sim.fronts[1].claims.confirm(other, now);
        assert_eq!(!confirmed.is_empty(), is_free, "{end:?}");
        sim.fronts[0].claims.end(number, ClaimEnd::NotRun, now);
        sim.exchange();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(74),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_saves_unfetched(events in sim_events()) {
        prop_assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
    }
}
