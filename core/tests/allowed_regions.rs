//! Regions in which a request may run.

use pitchhitch_core::serving::AllowedRegions;

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| region.to_string()).collect()
}

#[test]
fn unrestricted_by_default() {
    let regions = AllowedRegions::default();
    assert!(regions.is_unrestricted());
    assert!(regions.allows(Some("a")) && regions.allows(None));
}

#[test]
fn both_lists_apply() {
    let (route, organisation) = (names(&["a", "b"]), names(&["b", "c"]));
    let regions = AllowedRegions {
        route: &route,
        organisation: &organisation,
    };
    let allowed = ["a", "b", "c", "d"].map(|region| regions.allows(Some(region)));
    assert_eq!(allowed, [false, true, false, false]);
    assert!(!regions.allows(None), "an unknown region is in no list");
    let alone = AllowedRegions {
        route: &route,
        organisation: &[],
    };
    assert!(alone.allows(Some("a")) && !alone.allows(Some("c")));
}
