//! Regions in which a request may run.

use pitchhitch_core::serving::HomeRegions;

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| region.to_string()).collect()
}

#[test]
fn none_named() {
    let homes = HomeRegions::default();
    assert!(homes.is_open());
    assert!(homes.allow(Some("a")) && homes.allow(None));
}

#[test]
fn each_binds() {
    let (route, organisation) = (names(&["a", "b"]), names(&["b", "c"]));
    let homes = HomeRegions {
        route: &route,
        organisation: &organisation,
    };
    let allowed = ["a", "b", "c", "d"].map(|region| homes.allow(Some(region)));
    assert_eq!(allowed, [false, true, false, false]);
    assert!(!homes.allow(None), "an unknown region is nobody's");
    let alone = HomeRegions {
        route: &route,
        organisation: &[],
    };
    assert!(alone.allow(Some("a")) && !alone.allow(Some("c")));
}
