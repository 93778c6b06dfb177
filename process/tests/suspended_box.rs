//! Time that passes while the box is suspended.

use {
    pitchhitch_core::time::Micros,
    pitchhitch_process::{DeadlineTimer, ProcessClock},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which the box of a test was suspended, in milliseconds: by that much its clock is
/// ahead of its timers.
static CLOCK_SUSPENDED: AtomicU64 = AtomicU64::new(0);
static TIMER_SUSPENDED: AtomicU64 = AtomicU64::new(0);

fn ahead_by(suspended: &AtomicU64) -> Duration {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let ahead = Duration::from_millis(suspended.load(Ordering::SeqCst));
    since_epoch.expect("after 1970") + ahead
}

#[test]
fn clock_goes_on() {
    let clock = ProcessClock::start_with(|| ahead_by(&CLOCK_SUSPENDED));
    let before = clock.now();
    CLOCK_SUSPENDED.store(10_000, Ordering::SeqCst);
    assert!(clock.now().since(before) >= Micros::from_secs(10));
}

/// A deadline that is over when the box wakes ends then, and not so much later.
#[test]
fn deadline_holds() {
    let clock = ProcessClock::start_with(|| ahead_by(&TIMER_SUSPENDED));
    let timer = DeadlineTimer::after(clock, Duration::from_secs(3_600));
    TIMER_SUSPENDED.store(3_600_000, Ordering::SeqCst);
    smol::block_on(timer);
    assert!(clock.now() >= Micros::from_secs(3_600));
}

/// It ends no sooner than it should.
#[test]
fn ends_no_sooner() {
    let clock = ProcessClock::start();
    let mut timer = DeadlineTimer::after(clock, Duration::from_secs(60));
    timer.set_after(Duration::from_millis(1_100));
    let from = Instant::now();
    smol::block_on(timer);
    assert!(from.elapsed() >= Duration::from_millis(1_100));
}

/// The clock of a process is that of the system since its boot.
#[test]
fn counts_since_boot() {
    let uptime = || -> f64 {
        let text = std::fs::read_to_string("/proc/uptime").expect("uptime");
        let word = text.split(' ').next().expect("a number");
        word.parse().expect("a number")
    };
    let clock = ProcessClock::start();
    let before = uptime();
    thread::sleep(Duration::from_millis(50));
    // It is told in hundredths of a second.
    assert!(clock.now().as_secs_f64() + 0.02 >= uptime() - before);
}
