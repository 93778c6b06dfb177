//! Learning of return gaps, and what is kept because of them.

use pitchhitch_core::{
    conf::CostWeights,
    kept::{PieceKey, StoreTier},
    place::{decide_keep, KeepCase, LedgerPiece, ReturnLabel, ReturnModel, StoreLedger},
    time::Micros,
};

fn label(name: &str) -> ReturnLabel {
    ReturnLabel {
        organisation: "org".to_string(),
        label: name.to_string(),
    }
}

#[test]
fn chance_learned() {
    let mut model = ReturnModel::default();
    for _ in 0..100 {
        model.returned(&label("file"), Micros::from_secs(60));
        model.ended(&label("note"));
    }
    assert!(model.chance(&label("file"), Micros::ZERO) > 0.95);
    assert!(model.chance(&label("note"), Micros::ZERO) < 0.05);
    // After ten minutes a file that used to come back within one will not.
    assert!(model.chance(&label("file"), Micros::from_secs(600)) < 0.6);
}

#[test]
fn median_gap_found() {
    let mut model = ReturnModel::default();
    assert_eq!(model.median_gap(&label("file"), Micros::ZERO), None);
    for gap in [1, 60, 60, 60, 4_000] {
        model.returned(&label("file"), Micros::from_secs(gap));
    }
    let gap = model
        .median_gap(&label("file"), Micros::ZERO)
        .expect("known");
    assert!(
        (Micros::from_secs(30)..=Micros::from_secs(120)).contains(&gap),
        "{gap:?}"
    );
}

fn case(chance: f64) -> KeepCase {
    KeepCase {
        chance,
        gap: Some(Micros::from_secs(60)),
        tokens: 4_096,
        token_bytes: 128,
        token_cost: 20.0,
        import_time: 5_000.0,
        weights: CostWeights::default(),
    }
}

#[test]
fn likely_return_kept() {
    assert_eq!(decide_keep(&case(0.8)).tier, Some(StoreTier::Memory));
    let mut late = case(0.8);
    late.gap = Some(Micros::from_secs(86_400));
    assert_eq!(decide_keep(&late).tier, Some(StoreTier::Disk));
}

#[test]
fn unlikely_return_dropped() {
    assert_eq!(decide_keep(&case(0.0)).tier, None);
    // State that is larger than it is worth.
    let mut large = case(0.9);
    large.token_bytes = 1 << 20;
    assert_eq!(decide_keep(&large).tier, None);
}

#[test]
fn ledger_drops_least_likely() {
    let mut ledger = StoreLedger::default();
    for prompt in 0..10u128 {
        for piece in 0..20u128 {
            let key = PieceKey(prompt * 100 + piece);
            ledger.add(PieceKey(prompt), LedgerPiece { key, generation: 1 });
        }
    }
    let evicted = ledger.evict(|identity| identity.0 as f64 / 10.0);
    assert_eq!(evicted.len(), 40);
    assert!(evicted.iter().all(|piece| piece.key.0 < 200));
    assert_eq!(ledger.len(), 160);
}

#[test]
fn ledger_follows_list() {
    let mut ledger = StoreLedger::default();
    let piece = |key| LedgerPiece {
        key: PieceKey(key),
        generation: 1,
    };
    ledger.add(PieceKey(1), piece(10));
    ledger.add(PieceKey(1), piece(11));
    ledger.reconcile(vec![piece(11), piece(12)]);
    assert_eq!(ledger.len(), 2);
    // The piece that nobody has told about stands for itself.
    let evicted = ledger.evict(|identity| if identity == PieceKey(12) { 0.0 } else { 1.0 });
    assert_eq!(evicted[0], piece(12));
}
