//! Which requests a stopping process still accepts.

use pitchhitch_core::{
    serving::{RecentRuns, RunTimes, StopWindow},
    time::Micros,
};

const EXIT: Micros = Micros::from_millis(7_700);
const LIMIT: Micros = Micros::from_secs(4);

fn last_accepted(longest_run: Option<Micros>) -> Micros {
    let window = StopWindow::new(Micros::ZERO, EXIT);
    let times = (0..=EXIT.as_millis()).map(Micros::from_millis);
    let accepted = times.filter(|now| window.admits(LIMIT, longest_run, *now));
    accepted.max().expect("accepted at first")
}

/// A run as long as the longest recent one ends before the process does, and quick ones are accepted
/// for longer than slow ones.
#[test]
fn runs_end_in_time() {
    let mut previous = EXIT;
    for millis in [30, 400, 1_200, 1_800, 2_300] {
        let longest = Micros::from_millis(millis);
        let last = last_accepted(Some(longest));
        assert!(last + longest < EXIT && last < previous, "{millis} ms");
        previous = last;
    }
    assert!(last_accepted(Some(Micros::from_millis(30))) > Micros::from_secs(7));
}

/// A request whose time limit passes before the exit is accepted, however slow its route.
#[test]
fn short_limit_accepted() {
    let window = StopWindow::new(Micros::ZERO, EXIT);
    let slow = Some(Micros::from_secs(9));
    let now = Micros::from_secs(7);
    assert!(window.admits(Micros::from_millis(500), slow, now));
    assert!(!window.admits(Micros::from_millis(600), slow, now));
}

#[test]
fn old_runs_forgotten() {
    let mut times = RunTimes::default();
    let start = Micros::from_secs(10);
    times.record("a", Micros::from_secs(3), start);
    times.record("a", Micros::from_millis(5), start + Micros::from_secs(30));
    let later = start + Micros::from_secs(80);
    assert_eq!(times.longest("a", start), Some(Micros::from_secs(3)));
    assert_eq!(times.longest("a", later), Some(Micros::from_millis(5)));
    assert_eq!(times.longest("b", later), None);
}

fn runs_of(
    longest: Micros,
    count: usize,
) -> Option<RecentRuns> {
    Some(RecentRuns { longest, count })
}

fn last_stream(recent: Option<RecentRuns>) -> Option<Micros> {
    let window = StopWindow::new(Micros::ZERO, EXIT);
    let limit = Micros::from_secs(15);
    let times = (0..=EXIT.as_millis()).map(Micros::from_millis);
    times
        .filter(|now| window.admits_stream(limit, recent, *now))
        .max()
}

/// Streams that take longer than the exit leaves them are refused, and short ones accepted for long.
#[test]
fn streams_end_in_time() {
    let window = StopWindow::new(Micros::ZERO, EXIT);
    for millis in [30, 300, 1_800, 5_500, 7_000] {
        let longest = Micros::from_millis(millis);
        let last = last_stream(runs_of(longest, 20)).expect("accepted at first");
        assert!(last + longest <= window.answers_by, "{millis} ms");
    }
    assert!(last_stream(runs_of(Micros::from_millis(300), 20)) > Some(Micros::from_secs(6)));
    assert!(last_stream(runs_of(Micros::from_millis(5_500), 20)) > Some(Micros::from_secs(2)));
    assert_eq!(last_stream(runs_of(EXIT, 20)), None);
}

/// A stream of a route about which little is known is not accepted so late that its cut counts.
#[test]
fn unknown_streams_early() {
    for recent in [None, runs_of(Micros::from_millis(20), 1)] {
        assert_eq!(last_stream(recent), Some(Micros::from_millis(2_800)));
    }
}

/// One request that took very long does not count against all others of its route.
#[test]
fn outlier_ignored() {
    let mut times = RunTimes::default();
    let now = Micros::from_secs(10);
    times.record("a", Micros::from_secs(15), now);
    for _ in 0..60 {
        times.record("a", Micros::from_millis(300), now);
    }
    assert_eq!(times.longest("a", now), Some(Micros::from_millis(300)));
}
