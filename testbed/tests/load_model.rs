//! The model of engines, fronts and callers on a virtual clock.

use {
    pitchhitch_core::serving::ServingMechanism,
    pitchhitch_testbed::load_model::{play_load, LoadFile, LoadTally},
};

const USUAL: &str = include_str!("../loads/usual.toml");
const WAVE: &str = include_str!("../loads/wave.toml");

fn load(text: &str) -> LoadFile {
    LoadFile::parse(text).unwrap()
}

fn sum_in_aim(
    load: &LoadFile,
    left_out: Option<ServingMechanism>,
) -> u32 {
    let tallies = (1..=5).map(|seed| play_load(load, seed, left_out));
    let in_aim = |tally: LoadTally| tally.kinds.iter().map(|kind| kind.in_aim).sum::<u32>();
    tallies.map(in_aim).sum()
}

#[test]
fn same_seed() {
    let load = load(WAVE);
    let tally = play_load(&load, 7, None);
    assert_eq!(tally, play_load(&load, 7, None));
    assert_ne!(tally, play_load(&load, 8, None));
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
    let without = ServingMechanism::ALL.into_iter().map(Some);
    for left_out in std::iter::once(None).chain(without) {
        let tally = play_load(&load, 3, left_out);
        for kind in &tally.kinds {
            let ends = [
                kind.in_aim,
                kind.late,
                kind.refused,
                kind.failed,
                kind.gave_up,
            ];
            assert_eq!(kind.asked, ends.iter().sum::<u32>(), "{left_out:?}");
            assert!(kind.asked > 0 && kind.gave_up > 0);
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
    let whole = sum_in_aim(&load, None);
    let without = sum_in_aim(&load, Some(ServingMechanism::Admission));
    assert!(whole > without, "{whole} in aim, without {without}");
}

#[test]
fn kept_parts() {
    let load = load(USUAL);
    let again = |left_out| play_load(&load, 1, left_out).read_again;
    assert!(again(None) < again(Some(ServingMechanism::Affinity)));
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
