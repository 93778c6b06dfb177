//! Limits, fair sharing and the fair queue.

use pitchhitch_core::{
    conf::OrganisationLimits,
    errors::ErrorKind,
    limit::{FairQueue, LimitTable},
    time::Micros,
};

fn limits(
    rate: f64,
    burst: f64,
    concurrency: u32,
) -> OrganisationLimits {
    OrganisationLimits {
        requests_per_second: rate,
        burst,
        concurrency,
    }
}

#[test]
fn rate_limit_holds() {
    let mut table = LimitTable::new(1_000);
    let limits = limits(10.0, 5.0, 1_000);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = Micros::from_millis(step * 10);
        if table.admit("org", &limits, 1.0, now).is_ok() {
            admitted += 1;
            table.release("org");
        }
    }
    // Ten seconds at ten requests per second, plus the burst.
    assert!((100..=106).contains(&admitted), "{admitted}");
}

#[test]
fn retry_delay_returned() {
    let mut table = LimitTable::new(10);
    let limits = limits(1.0, 1.0, 10);
    table
        .admit("org", &limits, 1.0, Micros::ZERO)
        .expect("first");
    let refusal = table
        .admit("org", &limits, 1.0, Micros::ZERO)
        .expect_err("second");
    assert_eq!(refusal.kind, ErrorKind::OverLimit);
    assert_eq!(refusal.retry_after.as_millis(), 1_000);
}

#[test]
fn concurrency_share_applied() {
    let mut table = LimitTable::new(1_000);
    let limits = limits(1.0e6, 1.0e6, 10);
    let admitted = (0..20).filter(|_| table.admit("org", &limits, 0.5, Micros::ZERO).is_ok());
    assert_eq!(admitted.count(), 5);
}

#[test]
fn small_organisation_admitted() {
    let mut table = LimitTable::new(100);
    let limits = limits(1.0e6, 1.0e6, 1_000);
    while table.admit("large", &limits, 1.0, Micros::ZERO).is_ok() {}
    let refusal = table
        .admit("large", &limits, 1.0, Micros::ZERO)
        .expect_err("at its share");
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    for _ in 0..20 {
        table
            .admit("small", &limits, 1.0, Micros::ZERO)
            .expect("capacity for the small organisation");
    }
}

#[test]
fn release_frees_capacity() {
    let mut table = LimitTable::new(10);
    let limits = limits(1.0e6, 1.0e6, 1);
    table
        .admit("org", &limits, 1.0, Micros::ZERO)
        .expect("first");
    assert!(table.admit("org", &limits, 1.0, Micros::ZERO).is_err());
    table.release("org");
    table
        .admit("org", &limits, 1.0, Micros::ZERO)
        .expect("after release");
    assert_eq!(table.running(), 1);
}

#[test]
fn queue_is_fair() {
    let mut queue = FairQueue::default();
    let never = Micros(u64::MAX);
    for number in 0..100 {
        queue.push("large", number, 1_000, never);
    }
    queue.push("small", 1_000, 1_000, never);
    let position = (0..).find(|_| queue.pop().expect("work").key == 1_000);
    assert!(position.expect("found") <= 2, "{position:?}");
}

#[test]
fn queue_removal() {
    let mut queue = FairQueue::default();
    queue.push("org", 1, 10, Micros(5));
    queue.push("org", 2, 20, Micros(50));
    assert_eq!(queue.overdue(Micros(10)), vec![1]);
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!(queue.tokens(), 20);
    assert_eq!(queue.pop().map(|w| w.key), Some(2));
    assert!(queue.is_empty());
}
