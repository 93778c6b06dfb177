//! Leases and the order fence, for a single process. The testbed's test of the same name
//! covers all interleavings of events of two processes.

use pitchhitch_core::{
    lease::{
        is_contender, shard_of, FenceRefusal, LeaseMachine, LeaseRow, LeaseStep, LeaseTimes,
        OrderFence, OrderStamp,
    },
    time::Micros,
};

const TIMES: LeaseTimes = LeaseTimes {
    duration: Micros(3),
    interval: Micros(1),
    margin: Micros(1),
};

#[test]
fn duration_includes_write() {
    let mut machine = LeaseMachine::new("p", TIMES);
    machine.on_row_read(None, 0, Micros(0), Micros(0));
    let LeaseStep::Write { row, .. } = machine.step(Micros(0)) else {
        panic!("a free row is acquired");
    };
    machine.on_row_written(1, Micros(2));
    assert_eq!(machine.epoch(Micros(2)), Some(row.epoch));
    // The lease duration counts from before the write.
    assert_eq!(machine.epoch(Micros(3)), None);
}

#[test]
fn fence_checks_stamps() {
    let mut fence = OrderFence::default();
    let stamp = |epoch, sequence| OrderStamp { epoch, sequence };
    assert_eq!(fence.admit(stamp(9, 1)), Err(FenceRefusal::EpochUnknown));
    fence.on_epoch_read(3);
    assert_eq!(
        fence.admit(stamp(2, 7)),
        Err(FenceRefusal::OldEpoch {
            given: 2,
            newest: 3
        })
    );
    assert_eq!(fence.admit(stamp(3, 1)), Ok(()));
    assert!(matches!(
        fence.admit(stamp(3, 1)),
        Err(FenceRefusal::OldSequence { .. })
    ));
    assert_eq!(fence.admit(stamp(4, 1)), Ok(()));
    assert!(matches!(
        fence.admit(stamp(3, 9)),
        Err(FenceRefusal::OldEpoch { .. })
    ));
}

#[test]
fn three_contend() {
    let entries: Vec<String> = (0..100).map(|n| format!("entry-{n}")).collect();
    for group in ["g1", "g2", "g3"] {
        let shard = shard_of(group);
        let contenders = entries
            .iter()
            .filter(|id| is_contender(id, &shard, entries.iter()));
        assert_eq!(contenders.count(), 3);
    }
}

/// A row with the highest epoch and count of renewals ended the process that read it.
#[test]
fn foreign_epoch_overflows() {
    let mut machine = LeaseMachine::new("p", TIMES);
    let row = |holder: &str| LeaseRow {
        holder: holder.to_string(),
        epoch: u64::MAX,
        renewals: u64::MAX,
    };
    for holder in ["", "p"] {
        machine.on_row_read(Some(row(holder)), 1, Micros(0), Micros(0));
        let LeaseStep::Write { row, .. } = machine.step(Micros(9)) else {
            panic!("the lease is free or held");
        };
        assert_eq!(row.holder, "p");
        machine.on_row_written(2, Micros(9));
        assert!(machine.epoch(Micros(9)).is_some());
    }
}
