//! A process detects its own pause before it relies on outdated state.

use pitchhitch_core::{serving::PauseDetector, time::Micros};

#[test]
fn pause_detected() {
    let mut detector = PauseDetector::default();
    for tick in 0..10 {
        assert_eq!(detector.tick(Micros::from_millis(tick * 110)), None);
    }
    let resumed = Micros::from_millis(4_000);
    // The first check after the pause detects it, even before a tick.
    assert!(detector.has_just_resumed(resumed));
    assert_eq!(detector.tick(resumed), Some(Micros::from_millis(3_010)));
    assert!(detector.has_just_resumed(resumed + Micros::from_millis(100)));
    assert_eq!(detector.tick(resumed + Micros::from_millis(100)), None);
    assert!(!detector.has_just_resumed(resumed + Micros::from_millis(300)));
}

#[test]
fn slow_is_no_pause() {
    let mut detector = PauseDetector::default();
    detector.tick(Micros::ZERO);
    assert!(!detector.has_just_resumed(Micros::from_millis(550)));
    assert_eq!(detector.tick(Micros::from_millis(550)), None);
}
