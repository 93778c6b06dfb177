//! Versions of endpoints that are listed before the order to roll them out is known.

use {
    pitchhitch_core::{rollout::VersionSightings, time::Micros},
    std::collections::BTreeMap,
};

fn counts(versions: &[(&str, u32)]) -> BTreeMap<(String, String), u32> {
    let entry =
        |(version, count): &(&str, u32)| (("s".to_string(), (*version).to_string()), *count);
    versions.iter().map(entry).collect()
}

fn unsettled(sightings: &VersionSightings) -> Vec<&str> {
    sightings.unsettled("s").collect()
}

#[test]
fn first_version_settled() {
    let mut sightings = VersionSightings::default();
    sightings.record_list(&counts(&[("v1", 3)]), Micros(1));
    assert!(sightings.is_settled());
}

/// A later version waits, however many endpoints it has, until the orders are known as of then.
#[test]
fn later_version_waits() {
    for count in [1, 3, 9] {
        let mut sightings = VersionSightings::default();
        sightings.record_list(&counts(&[("v1", 3)]), Micros(1));
        sightings.record_list(&counts(&[("v1", 3), ("v2", count)]), Micros(10));
        assert_eq!(unsettled(&sightings), ["v2"]);
        sightings.settle(Micros(9));
        assert_eq!(unsettled(&sightings), ["v2"]);
        sightings.settle(Micros(10));
        assert!(sightings.is_settled());
    }
}

/// Of two versions in the first list the smaller one waits.
#[test]
fn smaller_version_waits() {
    let mut sightings = VersionSightings::default();
    sightings.record_list(&counts(&[("v1", 5), ("v2", 2)]), Micros(1));
    assert_eq!(unsettled(&sightings), ["v2"]);
}

/// The earlier version has gone: the new one serves at once.
#[test]
fn replaced_version_settled() {
    let mut sightings = VersionSightings::default();
    sightings.record_list(&counts(&[("v1", 3)]), Micros(1));
    sightings.record_list(&counts(&[("v2", 1)]), Micros(10));
    assert!(sightings.is_settled());
}
