//! In a simulated fleet of engines, fronts and a store, no freed part is fetched, whichever
//! processes are paused, restarted or stopped.

mod fleet_sim;

use {
    fleet_sim::{FleetSim, SimEvent, ENGINES, FRONTS, PARTS, SIM_MS},
    proptest::prelude::*,
};

fn event() -> impl Strategy<Value = SimEvent> {
    let pause_ms = 100u64..20_000;
    prop_oneof![
        1 => Just(SimEvent::PublishWeights),
        12 => (0..FRONTS, 0..ENGINES, 0..PARTS.len(), 0u64..6_000, 1u64..2_000).prop_map(
            |(front, engine, part, wait_ms, need_ms)| SimEvent::Fetch {
                front, engine, part, wait_ms: wait_ms.saturating_sub(4_000), need_ms
            }
        ),
        1 => (0..FRONTS).prop_map(|front| SimEvent::Cancel { front }),
        4 => (0..ENGINES, pause_ms.clone())
            .prop_map(|(engine, for_ms)| SimEvent::PauseEngine { engine, for_ms }),
        1 => (0..ENGINES, pause_ms.clone())
            .prop_map(|(engine, for_ms)| SimEvent::PauseReports { engine, for_ms }),
        1 => (0..ENGINES).prop_map(|engine| SimEvent::RestartEngine { engine }),
        1 => (0..ENGINES).prop_map(|engine| SimEvent::Load { engine }),
        2 => (0..FRONTS, pause_ms)
            .prop_map(|(front, for_ms)| SimEvent::PauseFront { front, for_ms }),
        1 => (0..FRONTS).prop_map(|front| SimEvent::RestartFront { front }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// Under any order of publications, fetches, pauses, restarts and cancellations, no engine
    /// fetches a freed part, and no front requests it.
    #[test]
    fn freed_part_unfetched(
        first_published in 500u64..3_000,
        events in proptest::collection::vec((0u64..40_000, event()), 20..120),
    ) {
        let mut events = events;
        events.push((first_published, SimEvent::PublishWeights));
        events.sort_by_key(|(time, _)| *time);
        let mut sim = FleetSim::new();
        let mut next = events.iter().peekable();
        while sim.now < SIM_MS {
            while let Some((_, event)) = next.next_if(|(time, _)| *time <= sim.now) {
                sim.apply_event(event);
                prop_assert!(sim.unsafe_fetch().is_none(), "{:?}", sim.unsafe_fetch());
            }
            sim.step();
            prop_assert!(sim.unsafe_fetch().is_none(), "{} {:?}", sim.now, sim.unsafe_fetch());
        }
    }
}
