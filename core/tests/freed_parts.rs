//! In a small world of engines, fronts and a store, whatever stands still, starts again or
//! leaves, no freed part is read.

mod fleet_sim;

use {
    fleet_sim::{FleetSim, SimEvent, ENGINES, FRONTS, PARTS, SIM_MS},
    proptest::prelude::*,
};

fn happening() -> impl Strategy<Value = SimEvent> {
    let still = 100u64..20_000;
    prop_oneof![
        1 => Just(SimEvent::PublishWeights),
        12 => (0..FRONTS, 0..ENGINES, 0..PARTS.len(), 0u64..6_000, 1u64..2_000).prop_map(
            |(front, engine, part, wait_ms, need_ms)| SimEvent::Fetch {
                front, engine, part, wait_ms: wait_ms.saturating_sub(4_000), need_ms
            }
        ),
        1 => (0..FRONTS).prop_map(|front| SimEvent::Cancel { front }),
        4 => (0..ENGINES, still.clone())
            .prop_map(|(engine, for_ms)| SimEvent::PauseEngine { engine, for_ms }),
        1 => (0..ENGINES, still.clone())
            .prop_map(|(engine, for_ms)| SimEvent::PauseReports { engine, for_ms }),
        1 => (0..ENGINES).prop_map(|engine| SimEvent::RestartEngine { engine }),
        1 => (0..ENGINES).prop_map(|engine| SimEvent::Load { engine }),
        2 => (0..FRONTS, still)
            .prop_map(|(front, for_ms)| SimEvent::PauseFront { front, for_ms }),
        1 => (0..FRONTS).prop_map(|front| SimEvent::RestartFront { front }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// Whatever the order of namings, fetches, standstills, restarts and cancels: what
    /// is freed is read by nobody any more, and nobody is told to fetch it.
    #[test]
    fn freed_is_unread(
        first_named in 500u64..3_000,
        happenings in proptest::collection::vec((0u64..40_000, happening()), 20..120),
    ) {
        let mut happenings = happenings;
        happenings.push((first_named, SimEvent::PublishWeights));
        happenings.sort_by_key(|(time, _)| *time);
        let mut world = FleetSim::new();
        let mut next = happenings.iter().peekable();
        while world.now < SIM_MS {
            while let Some((_, happening)) = next.next_if(|(time, _)| *time <= world.now) {
                world.apply_event(happening);
                prop_assert!(world.unsafe_fetch().is_none(), "{:?}", world.unsafe_fetch());
            }
            world.step();
            prop_assert!(world.unsafe_fetch().is_none(), "{} {:?}", world.now, world.unsafe_fetch());
        }
    }
}
