//! Catch-up of peers with an older configuration.

use pitchhitch_core::conf::{
    ChangeHistory, ChangeRecord, ConfigChange, FleetConfig, LabelTarget, PeerConfig,
};

fn record(revision: u64) -> ChangeRecord {
    ChangeRecord {
        revision,
        change_id: revision.to_string(),
        operator: "ann".to_string(),
        at_secs: 0,
        change: ConfigChange::Label {
            target: LabelTarget::Endpoint("e1".to_string()),
            key: "owner".to_string(),
            value: Some(revision.to_string()),
        },
    }
}

fn config(revision: u64) -> FleetConfig {
    FleetConfig {
        revision,
        ..FleetConfig::default()
    }
}

#[test]
fn only_newer_changes() {
    let mut history = ChangeHistory::default();
    history.append((5..=9).map(record));
    let wanted = PeerConfig::Changes(vec![record(8), record(9)]);
    assert_eq!(history.for_peer(7, &config(9)), wanted);
    assert_eq!(
        history.for_peer(9, &config(9)),
        PeerConfig::Changes(Vec::new())
    );
}

#[test]
fn full_config_fallback() {
    let mut history = ChangeHistory::default();
    history.append((5..=9).map(record));
    let whole = PeerConfig::Whole(Box::new(config(9)));
    assert_eq!(history.for_peer(3, &config(9)), whole);
}

#[test]
fn gap_discards_older() {
    let mut history = ChangeHistory::default();
    history.append([record(1), record(2), record(7), record(7), record(8)]);
    assert_eq!(
        history.for_peer(1, &config(8)),
        PeerConfig::Whole(Box::new(config(8)))
    );
    assert_eq!(
        history.for_peer(7, &config(8)),
        PeerConfig::Changes(vec![record(8)])
    );
}

#[test]
fn history_behind_config() {
    let mut history = ChangeHistory::default();
    history.append([record(1), record(2)]);
    // The complete configuration was fetched, so the history does not reach its revision.
    assert_eq!(
        history.for_peer(1, &config(5)),
        PeerConfig::Whole(Box::new(config(5)))
    );
}
