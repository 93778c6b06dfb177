//! Which requests a stopping process still accepts.

use pitchhitch_core::{
    serving::{RunTimes, StopWindow},
    time::Micros,
};

const EXIT: Micros = Micros::from_millis(7_700);
const LIMIT: Micros = Micros::from_secs(4);

fn last_accepted(longest_run: Option<Micros>) -> Micros {
    let window = StopWindow::until(EXIT);
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
    let window = StopWindow::until(EXIT);
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
