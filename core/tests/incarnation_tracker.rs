//! Distinguishes incarnations of a process although its clock can be set back.

use {
    pitchhitch_core::{
        serving::{IncarnationOrder, IncarnationTracker},
        time::Micros,
    },
    proptest::prelude::*,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// The incarnation that alone keeps reporting is the later one, regardless of its start time.
#[test]
fn clock_set_back_accepted() {
    let mut tracker = IncarnationTracker::default();
    let (ahead, right) = (Some(3_600_200), Some(300));
    assert_eq!(
        tracker.order(ahead, right, at(0)),
        IncarnationOrder::Earlier
    );
    assert_eq!(
        tracker.order(ahead, right, at(700)),
        IncarnationOrder::Earlier
    );
    assert_eq!(
        tracker.order(ahead, right, at(1_500)),
        IncarnationOrder::Later
    );
    assert_eq!(
        tracker.order(right, right, at(1_600)),
        IncarnationOrder::Same
    );
}

/// A report of the known incarnation in between shows that the other report was late.
#[test]
fn late_reports_ignored() {
    let mut tracker = IncarnationTracker::default();
    let (known, late) = (Some(200), Some(100));
    for second in 0..10 {
        let from = second * 1_000;
        assert_eq!(
            tracker.order(known, late, at(from)),
            IncarnationOrder::Earlier
        );
        assert_eq!(
            tracker.order(known, late, at(from + 400)),
            IncarnationOrder::Earlier
        );
        assert_eq!(
            tracker.order(known, known, at(from + 500)),
            IncarnationOrder::Same
        );
    }
}

/// Two late reports of two different incarnations do not count as one that keeps reporting.
#[test]
fn incarnations_tracked_separately() {
    let mut tracker = IncarnationTracker::default();
    assert_eq!(
        tracker.order(Some(200), Some(100), at(0)),
        IncarnationOrder::Earlier
    );
    let other = tracker.order(Some(200), Some(150), at(2_000));
    assert_eq!(other, IncarnationOrder::Earlier);
    assert_eq!(
        tracker.order(Some(200), Some(300), at(2_100)),
        IncarnationOrder::Later
    );
    assert_eq!(
        tracker.order(Some(300), None, at(2_200)),
        IncarnationOrder::Same
    );
}

proptest! {
    /// Whatever the clock of a box does, the reporting incarnation is the known one two seconds
    /// after it began; reports of the previous one arrive up to a second late.
    #[test]
    fn known_in_time(
        borns in proptest::collection::vec(0..5_u64, 1..12),
        late_ms in 0..1_000_u64,
    ) {
        let mut tracker = IncarnationTracker::default();
        let mut known = None;
        let mut before = None;
        for (index, born) in borns.iter().enumerate() {
            let starts = index as u64 * 6_000;
            for step in 0..60 {
                let now = starts + step * 100;
                let is_late_report = step % 3 == 1 && step * 100 < late_ms;
                let reported = if is_late_report { before } else { Some(*born) };
                if tracker.order(known, reported, at(now)) == IncarnationOrder::Later || known.is_none() {
                    known = reported;
                }
                prop_assert!(step * 100 < late_ms + 2_000 || known == Some(*born));
            }
            before = Some(*born);
        }
    }
}
