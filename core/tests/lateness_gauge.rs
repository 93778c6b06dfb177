//! Prompts are refused by how late others begin, the least urgent first.

use pitchhitch_core::serving::LatenessGauge;

const LARGE: u8 = 2;
const SMALL: u8 = 1;
const URGENT: u8 = 0;

/// A gauge after so many prompts, of which every `late_each`th began late.
fn after(
    prompts: u32,
    late_each: u32,
) -> LatenessGauge {
    let mut gauge = LatenessGauge::default();
    for number in 0..prompts {
        gauge.note(number % late_each == 0);
    }
    gauge
}

fn refused(
    gauge: &mut LatenessGauge,
    rank: u8,
) -> usize {
    (0..100).filter(|_| gauge.refuses(rank, LARGE)).count()
}

#[test]
fn timely_all_taken() {
    // One in ten late is more than sound seconds show.
    let mut gauge = after(1_000, 10);
    for rank in [URGENT, SMALL, LARGE] {
        assert_eq!(refused(&mut gauge, rank), 0, "rank {rank}");
    }
}

#[test]
fn least_urgent_first() {
    let mut gauge = after(40, 2);
    let (urgent, small, large) = (
        refused(&mut gauge, URGENT),
        refused(&mut gauge, SMALL),
        refused(&mut gauge, LARGE),
    );
    assert!((30..70).contains(&large), "{large} of 100 large prompts");
    assert_eq!((urgent, small), (0, 0));
}

#[test]
fn all_late_some_served() {
    let mut gauge = after(1_000, 1);
    let large = refused(&mut gauge, LARGE);
    let small = refused(&mut gauge, SMALL);
    assert!(
        (85..=90).contains(&large),
        "somebody must show that it is over"
    );
    assert!((35..=40).contains(&small), "{small} of 100");
    assert_eq!(refused(&mut gauge, URGENT), 0);
}

#[test]
fn relief_ends_it() {
    let mut gauge = after(1_000, 1);
    for _ in 0..150 {
        gauge.note(false);
    }
    assert_eq!(refused(&mut gauge, LARGE), 0);
}

/// A kind is refused evenly: no run of callers gets nothing.
#[test]
fn evenly_spread() {
    let mut gauge = after(30, 1);
    let mut run = 0;
    for _ in 0..200 {
        run = match gauge.refuses(LARGE, LARGE) {
            true => run + 1,
            false => 0,
        };
        assert!(run <= 10, "ten of ten refused");
    }
}
