//! Clock and timers of a process whose box is suspended.

use {
    pitchhitch_core::time::Micros,
    pitchhitch_process::{DeadlineTimer, ProcessClock},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Simulated suspension in milliseconds: the process clock is ahead of the system timers by
/// this much.
static CLOCK_SUSPENDED: AtomicU64 = AtomicU64::new(0);
static TIMER_SUSPENDED: AtomicU64 = AtomicU64::new(0);

fn clock_ahead_by(suspended: &AtomicU64) -> Duration {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let ahead = Duration::from_millis(suspended.load(Ordering::SeqCst));
    since_epoch.expect("after 1970") + ahead
}

#[test]
fn clock_counts_suspension() {
    let clock = ProcessClock::start_with(|| clock_ahead_by(&CLOCK_SUSPENDED));
    let before = clock.now();
    CLOCK_SUSPENDED.store(10_000, Ordering::SeqCst);
    assert!(clock.now().since(before) >= Micros::from_secs(10));
}

/// A deadline that passed during the suspension ends at the resume, not later by the length
/// of the suspension.
#[test]
fn suspended_deadline_ends() {
    let clock = ProcessClock::start_with(|| clock_ahead_by(&TIMER_SUSPENDED));
    let timer = DeadlineTimer::after(clock, Duration::from_secs(3_600));
    TIMER_SUSPENDED.store(3_600_000, Ordering::SeqCst);
    smol::block_on(timer);
    assert!(clock.now() >= Micros::from_secs(3_600));
}

/// The timer does not end early.
#[test]
fn timer_not_early() {
    let clock = ProcessClock::start();
    let mut timer = DeadlineTimer::after(clock, Duration::from_secs(60));
    timer.set_after(Duration::from_millis(1_100));
    let started = Instant::now();
    smol::block_on(timer);
    assert!(started.elapsed() >= Duration::from_millis(1_100));
}

/// The process clock follows the system's time since boot.
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
    // `/proc/uptime` has a resolution of 10 ms.
    assert!(clock.now().as_secs_f64() + 0.02 >= uptime() - before);
}
