//! The least urgent priority in use.

use pitchhitch_core::serving::PriorityShares;

fn after(priorities: impl Iterator<Item = u8>) -> PriorityShares {
    let mut shares = PriorityShares::default();
    priorities.for_each(|priority| shares.record(priority));
    shares
}

#[test]
fn first_priority_counts() {
    assert_eq!(after([3].into_iter()).least_urgent(), 3);
}

/// A single caller with a priority that no other caller uses does not protect the others from
/// refusals.
#[test]
fn rare_priority_ignored() {
    let shares = after((0..2_000).map(|number| if number % 100 == 0 { 9 } else { 2 }));
    assert_eq!(shares.least_urgent(), 2);
}

#[test]
fn common_priorities_count() {
    let shares = after((0..2_000).map(|number| if number % 5 == 0 { 7 } else { 1 }));
    assert_eq!(shares.least_urgent(), 7);
}

/// A priority that is no longer used is dropped.
#[test]
fn old_priority_forgotten() {
    let shares = after((0..2_000).map(|number| if number < 1_000 { 5 } else { 1 }));
    assert_eq!(shares.least_urgent(), 1);
}
