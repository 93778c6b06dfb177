//! How many connections a process may hold, and which idle ones are closed first.

use {
    pitchhitch_http1::{ConnectionCapacity, IdleConnections},
    std::rc::Rc,
};

#[test]
fn capacity_leaves_room() {
    for limit in [64, 128, 400, 1_024, 4_096, 4_100, 65_536] {
        let capacity = ConnectionCapacity::for_descriptors(limit);
        assert!(capacity.total() < limit, "{limit}");
        assert!(capacity.for_callers() < capacity.total(), "{limit}");
        // Four listeners for small requests beside the callers' one.
        assert!(
            capacity.for_callers() + 4 * capacity.for_service() < limit,
            "{limit}"
        );
    }
}

#[test]
fn oldest_evicted_first() {
    let idle = Rc::<IdleConnections>::default();
    let first = idle.enter();
    let second = idle.enter();
    let third = idle.enter();
    drop(first);
    assert!(idle.evict_oldest());
    assert!(second.is_evicted() && !third.is_evicted());
    assert_eq!(idle.len(), 1);
    drop(second);
    assert!(idle.evict_oldest());
    assert!(!idle.evict_oldest(), "none is left");
}

#[test]
fn evicted_while_waiting() {
    let idle = Rc::<IdleConnections>::default();
    let period = idle.enter();
    let evict = async {
        smol::future::yield_now().await;
        idle.evict_oldest();
    };
    smol::block_on(smol::future::zip(period.evicted(), evict));
    assert!(period.is_evicted());
}
