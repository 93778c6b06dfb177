//! The budget of bytes that a process holds for callers and endpoints.

use pitchhitch_core::serving::{HeldKind, MemoryBudget};

#[test]
fn limit_kept() {
    let mut budget = MemoryBudget::for_process(100);
    let mut held = 0;
    while budget.try_hold(HeldKind::Request, 1_000_000) {
        held += 1_000_000;
    }
    assert_eq!(held, 40_000_000);
    assert_eq!(budget.used(), held);
    budget.release(1_000_000);
    assert!(budget.can_hold(HeldKind::Request, 1_000_000));
    assert!(!budget.can_hold(HeldKind::Request, 1_000_001));
}

/// However many answers wait, requests still find room.
#[test]
fn answers_leave_room() {
    let mut budget = MemoryBudget::for_process(64);
    while budget.try_hold(HeldKind::Answer, 128 << 10) {}
    assert!(budget.used() > 12_000_000);
    assert!(budget.can_hold(HeldKind::Request, 12_000_000));
}
