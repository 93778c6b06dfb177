//! A process detects its own pause before it relies on outdated state.

use pitchhitch_core::{serving::PauseDetector, time::Micros};

#[test]
fn gap_noticed() {
    let mut watch = PauseDetector::default();
    for tick in 0..10 {
        assert_eq!(watch.tick(Micros::from_millis(tick * 110)), None);
    }
    let woken = Micros::from_millis(4_000);
    // The first check after the pause detects it, even before a tick.
    assert!(watch.has_just_resumed(woken));
    assert_eq!(watch.tick(woken), Some(Micros::from_millis(3_010)));
    assert!(watch.has_just_resumed(woken + Micros::from_millis(100)));
    assert_eq!(watch.tick(woken + Micros::from_millis(100)), None);
    assert!(!watch.has_just_resumed(woken + Micros::from_millis(300)));
}

#[test]
fn slow_is_no_standstill() {
    let mut watch = PauseDetector::default();
    watch.tick(Micros::ZERO);
    assert!(!watch.has_just_resumed(Micros::from_millis(550)));
    assert_eq!(watch.tick(Micros::from_millis(550)), None);
}
