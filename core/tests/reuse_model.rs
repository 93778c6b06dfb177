//! Reuse statistics of prompts, and retention decisions based on them.

use pitchhitch_core::{
    conf::CostWeights,
    kv_cache::{PieceKey, StoreTier},
    place::{
        decide_retention, InventoryPiece, RetentionCase, ReuseLabel, ReuseModel, StoreInventory,
    },
    time::Micros,
};

fn label(name: &str) -> ReuseLabel {
    ReuseLabel {
        organisation: "org".to_string(),
        label: name.to_string(),
    }
}

#[test]
fn probability_learned() {
    let mut model = ReuseModel::default();
    for _ in 0..100 {
        model.record_reuse(&label("file"), Micros::from_secs(60));
        model.record_expiry(&label("note"));
    }
    assert!(model.reuse_probability(&label("file"), Micros::ZERO) > 0.95);
    assert!(model.reuse_probability(&label("note"), Micros::ZERO) < 0.05);
    // Reuse gaps were one minute, so after ten minutes reuse is unlikely.
    assert!(model.reuse_probability(&label("file"), Micros::from_secs(600)) < 0.6);
}

#[test]
fn median_gap_found() {
    let mut model = ReuseModel::default();
    assert_eq!(model.median_gap(&label("file"), Micros::ZERO), None);
    for gap in [1, 60, 60, 60, 4_000] {
        model.record_reuse(&label("file"), Micros::from_secs(gap));
    }
    let gap = model
        .median_gap(&label("file"), Micros::ZERO)
        .expect("known");
    assert!(
        (Micros::from_secs(30)..=Micros::from_secs(120)).contains(&gap),
        "{gap:?}"
    );
}

fn case(reuse_probability: f64) -> RetentionCase {
    RetentionCase {
        reuse_probability,
        expected_gap: Some(Micros::from_secs(60)),
        tokens: 4_096,
        token_bytes: 128,
        token_cost: 20.0,
        import_time: 5_000.0,
        weights: CostWeights::default(),
    }
}

#[test]
fn likely_reuse_kept() {
    assert_eq!(decide_retention(&case(0.8)).tier, Some(StoreTier::Memory));
    let mut late = case(0.8);
    late.expected_gap = Some(Micros::from_secs(86_400));
    assert_eq!(decide_retention(&late).tier, Some(StoreTier::Disk));
}

#[test]
fn unlikely_reuse_dropped() {
    assert_eq!(decide_retention(&case(0.0)).tier, None);
    // State so large that it costs more than it saves.
    let mut large = case(0.9);
    large.token_bytes = 1 << 20;
    assert_eq!(decide_retention(&large).tier, None);
}

#[test]
fn inventory_evicts_unlikely() {
    let mut inventory = StoreInventory::default();
    for prompt in 0..10u128 {
        for piece in 0..20u128 {
            let key = PieceKey(prompt * 100 + piece);
            inventory.add(PieceKey(prompt), InventoryPiece { key, generation: 1 });
        }
    }
    let evicted = inventory.evict(|identity| identity.0 as f64 / 10.0);
    assert_eq!(evicted.len(), 40);
    assert!(evicted.iter().all(|piece| piece.key.0 < 200));
    assert_eq!(inventory.len(), 160);
}

#[test]
fn inventory_follows_listing() {
    let mut inventory = StoreInventory::default();
    let piece = |key| InventoryPiece {
        key: PieceKey(key),
        generation: 1,
    };
    inventory.add(PieceKey(1), piece(10));
    inventory.add(PieceKey(1), piece(11));
    inventory.reconcile(vec![piece(11), piece(12)]);
    assert_eq!(inventory.len(), 2);
    // A listed piece of an unknown prompt counts as a separate prompt.
    let evicted = inventory.evict(|identity| if identity == PieceKey(12) { 0.0 } else { 1.0 });
    assert_eq!(evicted[0], piece(12));
}
