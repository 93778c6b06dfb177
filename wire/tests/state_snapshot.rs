//! State snapshots: ages, uptimes of stores, content hashes and which of two is older.

use {
    pitchhitch_core::{
        serving::{KvStoreUptime, WeightPublication},
        time::Micros,
    },
    pitchhitch_wire::engine_agent::StateSnapshot,
};

fn publication(
    model: &str,
    version: u64,
    age_ms: Option<u64>,
) -> WeightPublication {
    WeightPublication {
        model: model.to_string(),
        version,
        previous: Some(version - 1),
        age: age_ms.map(Micros::from_millis),
    }
}

fn snapshot(weights: Vec<WeightPublication>) -> StateSnapshot {
    StateSnapshot {
        version: 4,
        age: Micros::from_millis(100),
        era: None,
        weights,
        ..StateSnapshot::default()
    }
}

/// All ages increase; the content hash stays the same as nothing else has changed.
#[test]
fn ages_grow() {
    let young = snapshot(vec![
        publication("m", 2, Some(300)),
        publication("n", 7, None),
    ]);
    let mut old = young.clone();
    old.add_age(Micros::from_millis(2_000));
    assert_eq!(old.age, Micros::from_millis(2_100));
    assert_eq!(
        old.weights,
        vec![publication("m", 2, Some(2_300)), publication("n", 7, None)]
    );
    assert_eq!(old.content_hash(), young.content_hash());
    assert_ne!(
        snapshot(vec![publication("m", 3, None)]).content_hash(),
        young.content_hash()
    );
}

/// A snapshot is older if any of its models has older or no weights, or its configuration is older.
#[test]
fn snapshot_order() {
    let both = snapshot(vec![
        publication("m", 2, None),
        publication("m", 1, None),
        publication("n", 7, None),
    ]);
    let newer = snapshot(vec![publication("m", 3, None), publication("n", 7, None)]);
    let missing_model = snapshot(vec![publication("m", 3, None)]);
    assert!(!newer.is_older_than(&both) && both.is_older_than(&newer));
    assert!(missing_model.is_older_than(&both) && !both.is_older_than(&both));
    let older_config = StateSnapshot {
        version: 3,
        ..newer.clone()
    };
    assert!(older_config.is_older_than(&newer) && !newer.is_older_than(&older_config));
}

/// Uptimes of stores are lower bounds: only time that has certainly passed is added to them, not
/// the upper bound that is added to ages. They don't change the content hash, so that no copy is
/// fetched again because of them.
#[test]
fn uptimes_lower_bound() {
    let uptime = |uptime_ms| KvStoreUptime {
        address: ([10, 9, 0, 1], 1).into(),
        epoch: 7,
        lasted: Micros::from_millis(uptime_ms),
    };
    let young = StateSnapshot {
        evacuated: Vec::new(),
        rollouts: Vec::new(),
        store_uptimes: vec![uptime(300)],
        ..snapshot(Vec::new())
    };
    let mut old = young.clone();
    old.add_age(Micros::from_millis(2_000));
    assert_eq!(old.store_uptimes, vec![uptime(300)]);
    old.add_store_uptime(Micros::from_millis(1_500));
    assert_eq!(old.store_uptimes, vec![uptime(1_800)]);
    assert_eq!(old.content_hash(), young.content_hash());
    assert_eq!(young.content_hash(), snapshot(Vec::new()).content_hash());
}
