//! What is learned of engines: how fast they read, how long prompts hold memory.

use pitchhitch_core::serving::EnginePace;

/// Prompts after which what was learned counts.
const PROMPTS: u32 = 150;

/// Sizes to read, from small to large, in an order without a pattern.
fn sizes() -> impl Iterator<Item = f64> {
    (0..PROMPTS).map(|number| f64::from(number * 7_919 % 12_000))
}

/// Plays prompts of an engine that takes `begin_ms` and `token_ms` for each.
fn played(
    start_ms: f64,
    begin_ms: f64,
    token_ms: f64,
) -> EnginePace {
    let mut pace = EnginePace::starting_at(start_ms);
    for tokens in sizes() {
        pace.note_begun(tokens, begin_ms + tokens * token_ms);
    }
    pace
}

fn is_near(
    found: f64,
    wanted: f64,
) -> bool {
    (found - wanted).abs() < wanted * 0.2
}

/// Engines that read 24, 48, 97 or 190 tokens in a millisecond, each with a start
/// that is four times wrong either way.
#[test]
fn wrong_start_mended() {
    for token_ms in [1.0 / 24.0, 1.0 / 48.0, 1.0 / 97.0, 1.0 / 190.0] {
        for start in [token_ms / 4.0, token_ms * 4.0] {
            let pace = played(start, 30.0, token_ms);
            assert!(is_near(pace.token_ms(), token_ms), "{start}: {pace:?}");
            assert!(is_near(pace.begin_ms(), 30.0), "{start}: {pace:?}");
        }
    }
}

/// The start itself is right within a factor of three for those engines but the
/// quickest, which is within four.
#[test]
fn start_within_bounds() {
    let start = EnginePace::default().token_ms();
    for (rate, factor) in [(24.0, 3.0), (48.0, 3.0), (97.0, 3.0), (190.0, 4.0)] {
        let ratio = start * rate;
        assert!((1.0 / factor..=factor).contains(&ratio), "{rate}: {ratio}");
    }
}

/// Some prompts that waited ten seconds for something else do not make the engine
/// slow, and prompts of one size alone leave the rate within its bounds.
#[test]
fn outliers_bounded() {
    let mut pace = played(0.02, 30.0, 0.02);
    for _ in 0..5 {
        pace.note_begun(2_000.0, 10_000.0);
    }
    assert!(pace.token_ms() < 0.04, "{pace:?}");
    let mut same = EnginePace::default();
    for _ in 0..1_000 {
        same.note_begun(2_000.0, 60.0);
    }
    assert!(same.token_ms() > 0.0 && same.token_ms().is_finite());
    assert!(is_near(same.begin_ms() + 2_000.0 * same.token_ms(), 60.0));
}

/// An engine that becomes slower is known as such within some hundred prompts.
#[test]
fn change_followed() {
    let mut pace = played(0.02, 30.0, 0.01);
    for _ in 0..3 {
        for tokens in sizes() {
            pace.note_begun(tokens, 60.0 + tokens * 0.03);
        }
    }
    assert!(is_near(pace.token_ms(), 0.03), "{pace:?}");
}

/// Memory is free sooner where prompts hold it for a shorter time, or more is used.
#[test]
fn memory_release() {
    let mut pace = EnginePace::default();
    for _ in 0..200 {
        pace.note_sent(12_000, 4_000, 60);
        pace.note_ended(12_000, 2_000.0);
    }
    assert!(is_near(pace.memory_ms(60_000) * 12_000.0, 400.0));
    assert!(is_near(pace.memory_ms(30_000) * 12_000.0, 800.0));
}
