//! Checks the lease protocol in all orders of events of a small instance: two processes, one
//! row, calls that are delayed or lost before or after they take effect, crashes, and pauses of
//! any length between two steps.

use {
    pitchhitch_core::time::Micros,
    pitchhitch_testbed::check::{check_single_holder, explore_leases, initial_world, LeaseWorld},
};

const STATE_LIMIT: usize = 2_000_000;

/// A state in which one process has just taken the lease and the other knows it.
fn held_world(faults: u32) -> LeaseWorld {
    let mut world = initial_world(faults);
    world.run_without_faults(2);
    assert_eq!(world.holders().len(), 1);
    world
}

fn check(
    start: LeaseWorld,
    units: u64,
) -> usize {
    let end = start.now() + Micros(units);
    explore_leases(start, end, STATE_LIMIT, check_single_holder).expect("one holder")
}

#[test]
fn one_holder_only() {
    for (faults, units) in [(0, 6), (1, 4)] {
        let states = check(held_world(faults), units);
        println!("{states} states from a held lease, {faults} faults, {units} units of time");
    }
    let states = check(initial_world(1), 2);
    println!("{states} states from a free lease, 1 fault, 2 units of time");
}

#[test]
fn lease_taken_over() {
    let mut world = held_world(0);
    let first = world.holders();
    world.crash_holder();
    assert!(world.holders().is_empty());
    world.run_without_faults(8);
    let second = world.holders();
    assert_eq!(second.len(), 1);
    assert!(second[0] > first[0], "{first:?} {second:?}");
}
