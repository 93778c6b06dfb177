//! The simulation of engines, fronts and callers: it is reproducible, gives every request one
//! outcome, and shows the effect of the mechanisms.

use {
    pitchhitch_core::serving::ServingMechanism,
    pitchhitch_testbed::load_model::{simulate_load, LoadFile, LoadTally},
};

const USUAL: &str = include_str!("../loads/usual.toml");
const WAVE: &str = include_str!("../loads/wave.toml");

fn load(text: &str) -> LoadFile {
    LoadFile::parse(text).unwrap()
}

fn sum_on_time(
    load: &LoadFile,
    disabled: Option<ServingMechanism>,
) -> u32 {
    let tallies = (1..=5).map(|seed| simulate_load(load, seed, disabled));
    let on_time = |tally: LoadTally| tally.kinds.iter().map(|kind| kind.on_time).sum::<u32>();
    tallies.map(on_time).sum()
}

#[test]
fn same_seed() {
    let load = load(WAVE);
    let tally = simulate_load(&load, 7, None);
    assert_eq!(tally, simulate_load(&load, 7, None));
    assert_ne!(tally, simulate_load(&load, 8, None));
}

#[test]
fn none_lost() {
    let mut load = load(WAVE);
    for kind in &mut load.kinds {
        kind.leaving = 0.1;
        kind.impatient = 0.3;
    }
    load.outages = LoadFile::parse(&format!("{USUAL}{OUTAGE}"))
        .unwrap()
        .outages;
    let single = ServingMechanism::ALL.into_iter().map(Some);
    for disabled in std::iter::once(None).chain(single) {
        let tally = simulate_load(&load, 3, disabled);
        for kind in &tally.kinds {
            let outcomes = [
                kind.on_time,
                kind.late,
                kind.refused,
                kind.failed,
                kind.abandoned,
            ];
            assert_eq!(kind.requests, outcomes.iter().sum::<u32>(), "{disabled:?}");
            assert!(kind.requests > 0 && kind.abandoned > 0);
        }
    }
}

const OUTAGE: &str = "
[[outages]]
from_s = 5.0
for_s = 6.0
engines = 3
";

#[test]
fn overload_admission() {
    let load = load(WAVE);
    let enabled = sum_on_time(&load, None);
    let without_admission = sum_on_time(&load, Some(ServingMechanism::Admission));
    assert!(
        enabled > without_admission,
        "{enabled} on time, {without_admission} without admission"
    );
}

#[test]
fn kept_parts() {
    let load = load(USUAL);
    let prefilled_again = |disabled| simulate_load(&load, 1, disabled).prefilled_again;
    assert!(prefilled_again(None) < prefilled_again(Some(ServingMechanism::Affinity)));
}

#[test]
fn wrong_names() {
    assert!(ServingMechanism::from_name("no-such").is_err());
    for mechanism in ServingMechanism::ALL {
        assert_eq!(
            ServingMechanism::from_name(mechanism.name()).unwrap(),
            mechanism
        );
    }
    assert!(LoadFile::parse(&USUAL.replace("fronts = 6", "fronts = 0")).is_err());
    assert!(LoadFile::parse(&USUAL.replace("fronts = 6", "frontiers = 6")).is_err());
}
