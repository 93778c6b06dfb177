//! Which organisations share cached parts, while the configuration changes.

use {
    pitchhitch_core::serving::{Organisation, SharingGroups},
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

const NAMES: [&str; 3] = ["farm", "shop", "inn"];

/// Organisations of a configuration; names with a `!` are isolated.
fn organisations(names: &[&str]) -> Vec<Organisation> {
    let organisation = |name: &&str| Organisation {
        name: name.trim_end_matches('!').to_string(),
        priority: None,
        is_isolated: name.ends_with('!'),
        allowed_regions: Vec::new(),
    };
    names.iter().map(organisation).collect()
}

fn salt(
    groups: &mut SharingGroups,
    organisation: &str,
) -> String {
    groups.namespace("m", 1, Some(organisation)).salt()
}

/// Parts that an organisation had made before it became isolated were read by others.
#[test]
fn isolated_later() {
    let mut groups = SharingGroups::default();
    groups.apply(&organisations(&["farm", "shop", "inn"]));
    let shared = salt(&mut groups, "farm");
    assert_eq!(shared, salt(&mut groups, "shop"));
    assert_eq!(groups.apply(&organisations(&["farm", "shop", "inn!"])), 1);
    let after = salt(&mut groups, "farm");
    assert_ne!(after, shared, "the isolated organisation made parts there");
    assert_eq!(after, salt(&mut groups, "shop"));
    assert_ne!(after, salt(&mut groups, "inn"));
}

/// Organisations that were never members cost the others nothing, nor do members that are removed.
#[test]
fn newcomers_cost_nothing() {
    let mut groups = SharingGroups::default();
    groups.apply(&organisations(&["farm", "shop"]));
    let shared = salt(&mut groups, "farm");
    for names in [
        &["farm", "shop", "inn!"][..],
        &["farm", "shop", "inn!", "mill"],
        &["farm", "shop", "mill"],
        &["farm", "shop"],
        &["farm"],
    ] {
        groups.apply(&organisations(names));
        assert_eq!(shared, salt(&mut groups, "farm"), "{names:?}");
    }
}

/// A box that has just started, and knows only the newest configuration, agrees with the others.
#[test]
fn agree_after_restart() {
    let mut groups = SharingGroups::default();
    groups.apply(&organisations(&["farm", "shop", "inn"]));
    salt(&mut groups, "farm");
    groups.apply(&organisations(&["farm", "shop", "inn!"]));
    let mut started = SharingGroups::default();
    started.apply(&organisations(&["farm", "shop", "inn!"]));
    assert_eq!(salt(&mut groups, "farm"), salt(&mut started, "farm"));
    // An isolated newcomer changes nothing for a box that has just started, either.
    let mut before = SharingGroups::default();
    before.apply(&organisations(&["farm", "shop"]));
    assert_eq!(salt(&mut before, "farm"), salt(&mut started, "farm"));
}

/// A newcomer does not make parts in the namespace that the others keep: it may become isolated.
#[test]
fn newcomer_isolated_later() {
    let mut groups = SharingGroups::default();
    groups.apply(&organisations(&["farm", "shop"]));
    let kept = salt(&mut groups, "farm");
    groups.apply(&organisations(&["farm", "shop", "inn"]));
    let newcomer = salt(&mut groups, "inn");
    assert_ne!(newcomer, kept);
    groups.apply(&organisations(&["farm", "shop", "inn!"]));
    assert_eq!(salt(&mut groups, "farm"), kept);
    assert_ne!(salt(&mut groups, "inn"), newcomer);
}

#[test]
fn removed_and_isolated() {
    let mut groups = SharingGroups::default();
    groups.apply(&organisations(&["farm", "shop"]));
    let shared = salt(&mut groups, "farm");
    groups.apply(&organisations(&["farm"]));
    assert_ne!(salt(&mut groups, "shop"), shared, "no longer configured");
    groups.apply(&organisations(&["farm", "shop!"]));
    assert_ne!(
        salt(&mut groups, "farm"),
        shared,
        "the newcomer made parts there"
    );
}

proptest! {
    /// Boxes start, and apply or miss configurations, in any order: whoever uses a namespace at a box
    /// never meets a part of an organisation that is isolated in the configuration of that box.
    #[test]
    fn never_read_isolated(
        changes in prop::collection::vec(prop::collection::vec(0_u8..3, NAMES.len()), 1..12),
        steps in prop::collection::vec((0_usize..2, 0_u8..10, 0_usize..NAMES.len()), 1..120),
    ) {
        let configs: Vec<Vec<Organisation>> = changes
            .iter()
            .map(|states| {
                let names: Vec<String> = NAMES
                    .iter()
                    .zip(states)
                    .filter(|(_, state)| **state > 0)
                    .map(|(name, state)| format!("{name}{}", if *state == 2 { "!" } else { "" }))
                    .collect();
                organisations(&names.iter().map(String::as_str).collect::<Vec<_>>())
            })
            .collect();
        // The newest configuration that is acknowledged, and that of each box.
        let mut newest = 0;
        let mut boxes = [0; 2].map(|version| (version, SharingGroups::default()));
        for (_, groups) in &mut boxes {
            groups.apply(&configs[0]);
        }
        let mut makers: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for (index, action, name) in steps {
            let (version, groups) = &mut boxes[index];
            match action {
                0 => newest = (newest + 1).min(configs.len() - 1),
                1 | 2 => {
                    *version = newest;
                    groups.apply(&configs[newest]);
                }
                3 => {
                    *version = newest;
                    *groups = SharingGroups::default();
                    groups.apply(&configs[newest]);
                }
                _ => {
                    let config = &configs[*version];
                    let name = NAMES[name];
                    if config.iter().any(|organisation| organisation.name == name) {
                        let used = makers.entry(salt(groups, name)).or_default();
                        let is_apart = |other: &&str| {
                            *other != name
                                && config.iter().any(|o| {
                                    o.is_isolated && (o.name == name || o.name == *other)
                                })
                        };
                        prop_assert!(!used.iter().any(is_apart), "{name} meets {used:?}");
                        used.insert(name);
                    }
                }
            }
        }
    }
}
