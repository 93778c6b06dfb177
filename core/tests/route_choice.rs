//! Routing decisions.

mod route_fleet;

use {
    pitchhitch_core::{
        conf::RuleEffect,
        errors::ErrorKind,
        kv_cache::{PieceDirectory, PieceHolder, PieceKey},
        route::{EndpointKey, RoutePolicy, RouteReason},
    },
    proptest::prelude::*,
    route_fleet::{choose, chosen, fleet, prompt, TOKENS},
};

#[test]
fn holder_preferred() {
    let mut fleet = fleet(5);
    fleet.cache(3, &prompt());
    let table = fleet.build();
    let choice = choose(&table, "org", "v1", &prompt(), &[], 1).expect("choice");
    assert_eq!(chosen(&table, &choice), "e3");
    assert_eq!(choice.reason, RouteReason::ReusesPrefix);
    assert_eq!(choice.estimate.reused_pieces, 8);
    assert_eq!(choice.candidates, 5);
}

#[test]
fn busy_holder_avoided() {
    let mut fleet = fleet(3);
    fleet.cache(1, &prompt());
    let key = fleet.keys[1];
    fleet.loads[key].report.pending_tokens = 1_000_000;
    let table = fleet.build();
    let choice = choose(&table, "org", "v1", &prompt(), &[], 1).expect("choice");
    assert_ne!(chosen(&table, &choice), "e1");
}

#[test]
fn own_load_subtracted() {
    let mut fleet = fleet(2);
    // The report contains 1,000 tokens, all sent by this process and computed since.
    let key = fleet.keys[0];
    fleet.loads[key].report.pending_tokens = 1_000;
    fleet.loads[key].own_tokens = 1_000;
    let other = fleet.keys[1];
    fleet.loads[other].report.pending_tokens = 500;
    let table = fleet.build();
    let choice = choose(&table, "org", "v1", &[], &[], 1).expect("choice");
    assert_eq!(chosen(&table, &choice), "e0");
}

#[test]
fn fast_link_imports() {
    let mut fleet = fleet(2);
    fleet.store(&prompt(), 1.0e9);
    let table = fleet.build();
    let choice = choose(&table, "org", "v1", &prompt(), &[], 1).expect("choice");
    assert_eq!(choice.reason, RouteReason::ImportsPrefix);
    assert_eq!(choice.imports.len(), 8);
    assert!(choice.imports.iter().all(|import| import.generation == 5));
}

#[test]
fn slow_link_recomputes() {
    let mut fleet = fleet(2);
    fleet.store(&prompt(), 1.0e6);
    let table = fleet.build();
    let choice = choose(&table, "org", "v1", &prompt(), &[], 1).expect("choice");
    assert!(choice.imports.is_empty());
    assert_eq!(choice.estimate.recomputed_tokens, TOKENS);
}

#[test]
fn versions_kept_apart() {
    let mut fleet = fleet(2);
    fleet.add_engine(2, "v2");
    let table = fleet.build();
    for seed in 0..50 {
        let old = choose(&table, "org", "v1", &[], &[], seed).expect("v1");
        let new = choose(&table, "org", "v2", &[], &[], seed).expect("v2");
        assert_ne!(chosen(&table, &old), "e2");
        assert_eq!(chosen(&table, &new), "e2");
    }
}

#[test]
fn excluded_never_chosen() {
    let fleet = fleet(2);
    let first = fleet.keys[0];
    let table = fleet.build();
    for seed in 0..20 {
        let choice = choose(&table, "org", "v1", &[], &[first], seed).expect("choice");
        assert_eq!(chosen(&table, &choice), "e1");
        assert_eq!(choice.reason, RouteReason::OnlyOne);
    }
}

#[test]
fn nothing_selected() {
    let mut fleet = fleet(2);
    fleet.rule(
        "none",
        0,
        "organisation=org",
        "site=nowhere",
        RuleEffect::Allow,
    );
    let table = fleet.build();
    assert_eq!(
        choose(&table, "org", "v1", &[], &[], 1),
        Err(ErrorKind::NothingSelected)
    );
    assert!(choose(&table, "other", "v1", &[], &[], 1).is_ok());
}

#[test]
fn none_available() {
    let mut fleet = fleet(2);
    for key in fleet.keys.clone() {
        fleet.loads[key].alive = false;
    }
    let table = fleet.build();
    assert_eq!(
        choose(&table, "org", "v1", &[], &[], 1),
        Err(ErrorKind::NoneAvailable)
    );
}

#[test]
fn higher_precedence_decides() {
    let mut fleet = fleet(4);
    fleet.rule("all-to-a", 0, "", "site=a", RuleEffect::Allow);
    fleet.rule(
        "org-to-b",
        5,
        "organisation=org",
        "site=b",
        RuleEffect::Allow,
    );
    let table = fleet.build();
    for seed in 0..20 {
        let ours = choose(&table, "org", "v1", &[], &[], seed).expect("ours");
        let theirs = choose(&table, "other", "v1", &[], &[], seed).expect("theirs");
        assert!(["e1", "e3"].contains(&chosen(&table, &ours).as_str()));
        assert!(["e0", "e2"].contains(&chosen(&table, &theirs).as_str()));
    }
}

#[test]
fn deny_beats_allow() {
    let mut fleet = fleet(4);
    fleet.rule("allow", 0, "", "", RuleEffect::Allow);
    fleet.rule("deny", 0, "organisation=org", "site=a", RuleEffect::Deny);
    let table = fleet.build();
    for seed in 0..20 {
        let choice = choose(&table, "org", "v1", &[], &[], seed).expect("choice");
        assert!(["e1", "e3"].contains(&chosen(&table, &choice).as_str()));
    }
}

#[test]
fn equal_endpoints_balanced() {
    let table = fleet(4).build();
    let mut counts = [0; 4];
    for seed in 0..400 {
        let choice = choose(&table, "org", "v1", &[], &[], seed).expect("choice");
        let number: usize = chosen(&table, &choice)[1..].parse().expect("number");
        counts[number] += 1;
    }
    assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
}

#[test]
fn round_robin_cycles() {
    let mut table = fleet(3).build();
    table.policy = RoutePolicy::RoundRobin;
    let ids: Vec<String> = (0..6)
        .map(|seed| {
            chosen(
                &table,
                &choose(&table, "org", "v1", &[], &[], seed).expect("choice"),
            )
        })
        .collect();
    assert_eq!(ids[..3], ids[3..]);
    assert_ne!(ids[0], ids[1]);
    assert_ne!(ids[1], ids[2]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// The same table, request and seed yield the same decision, which is a usable,
    /// admitted endpoint of the right version.
    #[test]
    fn choice_is_deterministic(
        engines in 1usize..20,
        is_dead in proptest::collection::vec(any::<bool>(), 20),
        pending in proptest::collection::vec(0u64..50_000, 20),
        holders in proptest::collection::vec(0usize..20, 0..4),
        seed in any::<u64>(),
    ) {
        let make = || {
            let mut fleet = fleet(engines);
            fleet.rule("site", 0, "organisation=org", "site=a", RuleEffect::Allow);
            for number in 0..engines {
                let key = fleet.keys[number];
                fleet.loads[key].alive = !is_dead[number];
                fleet.loads[key].report.pending_tokens = pending[number];
            }
            for holder in &holders {
                if *holder < engines {
                    fleet.cache(*holder, &prompt());
                }
            }
            fleet.build()
        };
        let table = make();
        let one = choose(&table, "org", "v1", &prompt(), &[], seed);
        let two = choose(&make(), "org", "v1", &prompt(), &[], seed);
        prop_assert_eq!(&one, &two);
        if let Ok(choice) = one {
            let number: usize = chosen(&table, &choice)[1..].parse().expect("number");
            prop_assert!(!is_dead[number]);
            prop_assert_eq!(number % 2, 0);
        }
    }

    /// The directory behaves like a plain list of additions and removals.
    #[test]
    fn directory_matches_list(steps in proptest::collection::vec((0u64..30, 0usize..4, any::<bool>()), 1..200)) {
        let fleet = fleet(4);
        let mut directory = PieceDirectory::default();
        let mut list: Vec<(u64, usize)> = Vec::new();
        for (piece, endpoint, add) in steps {
            let key = PieceKey(u128::from(piece) << 100 | 1);
            let holder = PieceHolder::Endpoint(fleet.keys[endpoint]);
            list.retain(|row| *row != (piece, endpoint));
            if add {
                directory.add(key, holder);
                list.push((piece, endpoint));
            } else {
                directory.remove(key, &holder);
            }
        }
        for piece in 0..30 {
            let key = PieceKey(u128::from(piece) << 100 | 1);
            let mut found: Vec<EndpointKey> = directory
                .holders(key)
                .filter_map(|h| match h {
                    PieceHolder::Endpoint(key) => Some(key),
                    PieceHolder::Store(_) => None,
                })
                .collect();
            found.sort();
            let mut wanted: Vec<EndpointKey> =
                list.iter().filter(|row| row.0 == piece).map(|row| fleet.keys[row.1]).collect();
            wanted.sort();
            prop_assert_eq!(found, wanted);
        }
    }
}
