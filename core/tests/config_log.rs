//! The change log: revisions never decrease, and changes apply completely or not at all.

use {
    pitchhitch_core::conf::{
        ChangeError, ConfigChange, ConfigHead, FleetConfig, LabelTarget, OrganisationConf,
    },
    proptest::prelude::*,
};

fn label(
    endpoint: &str,
    value: Option<&str>,
) -> ConfigChange {
    ConfigChange::Label {
        target: LabelTarget::Endpoint(endpoint.to_string()),
        key: "site".to_string(),
        value: value.map(str::to_string),
    }
}

#[test]
fn unknown_organisation_refused() {
    let mut config = FleetConfig::default();
    let change = ConfigChange::Label {
        target: LabelTarget::Organisation("nobody".to_string()),
        key: "site".to_string(),
        value: Some("a".to_string()),
    };
    let before = config.clone();
    let error = config.apply(&change).expect_err("refused");
    assert!(matches!(error, ChangeError::Unknown { .. }));
    assert_eq!(config, before);
}

#[test]
fn bad_label_refused() {
    let mut config = FleetConfig::default();
    let before = config.clone();
    assert!(config.apply(&label("e1", Some("no blanks here"))).is_err());
    assert_eq!(config, before);
}

#[test]
fn older_head_ignored() {
    let mut config = FleetConfig::default();
    let old = ConfigHead::default().with_change("one", "ann", 0, label("e1", Some("a")));
    let new = old.with_change("two", "bob", 0, label("e1", Some("b")));
    config = new.apply_to(&config).expect("new");
    let same = old.apply_to(&config).expect("old");
    assert_eq!(same.revision, 2);
    assert_eq!(same, config);
}

#[test]
fn log_gap_rejected() {
    let head = ConfigHead::default().with_change("one", "ann", 0, label("e1", Some("a")));
    let mut head = head.with_change("two", "ann", 0, label("e1", Some("b")));
    head.tail.pop_front();
    let error = head.apply_to(&FleetConfig::default()).expect_err("gap");
    assert_eq!(error, ChangeError::RevisionGap { from: 0, to: 2 });
}

#[test]
fn compaction_keeps_ids() {
    let mut head = ConfigHead::default();
    for number in 0..70 {
        head = head.with_change(&format!("id-{number}"), "ann", 0, label("e1", Some("a")));
    }
    assert!(head.needs_compaction());
    let compacted = head.compacted("base".to_string());
    assert_eq!(compacted.revision(), 70);
    assert_eq!(compacted.change_revision("id-3"), Some(4));
    assert_eq!(compacted.change_revision("id-99"), None);
}

#[derive(Debug, Clone)]
enum Step {
    Change(ConfigChange),
    Fold,
    Refresh,
}

fn step() -> impl Strategy<Value = Step> {
    let change = prop_oneof![
        ("e[0-3]", proptest::option::of("[a-c]")).prop_map(|(e, v)| label(&e, v.as_deref())),
        ("o[0-2]", any::<bool>()).prop_map(|(name, add)| ConfigChange::Organisation {
            name,
            conf: add.then(OrganisationConf::default),
        }),
    ];
    prop_oneof![
        6 => change.prop_map(Step::Change),
        1 => Just(Step::Fold),
        2 => Just(Step::Refresh),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// After each refresh a reader has the writer's current configuration, and its revision never
    /// decreases.
    #[test]
    fn reader_follows_writer(steps in proptest::collection::vec(step(), 1..80)) {
        let mut head = ConfigHead::default();
        let mut expected = FleetConfig::default();
        let mut base = FleetConfig::default();
        let mut reader = FleetConfig::default();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Change(change) => {
                    let mut next = expected.clone();
                    if next.apply(&change).is_ok() {
                        expected = next;
                        head = head.with_change(&format!("id-{number}"), "ann", 0, change);
                    }
                }
                Step::Fold => {
                    base = expected.clone();
                    head = head.compacted(format!("base-{number}"));
                }
                Step::Refresh => {
                    let before = reader.revision;
                    let from = if reader.revision >= head.base_revision { &reader } else { &base };
                    reader = head.apply_to(from).expect("whole log");
                    prop_assert_eq!(&reader, &expected);
                    prop_assert!(reader.revision >= before);
                }
            }
        }
    }
}
