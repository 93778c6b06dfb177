//! The rate at which a front polls the platform store follows from the operators' limits.

use pitchhitch_entry::front::FrontSettings;

/// Maximum rate of calls of one front. Each call has a cost, and all fronts share the capacity of
/// the store.
const MAX_CALLS_PER_SECOND: f64 = 2.2;

fn settings(
    drain_limit_ms: u64,
    key_limit_ms: u64,
) -> FrontSettings {
    let text = format!(
        r#"{{"box_id": "b", "failure_domain": "d", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "digests": "127.0.0.1:3", "store": "127.0.0.1:4",
            "drain_limit_ms": {drain_limit_ms}, "key_limit_ms": {key_limit_ms}}}"#
    );
    FrontSettings::parse("front.json", &text).expect("settings")
}

/// A front that loses the store just before a response can still serve callers with keys for three
/// fifths of the limit.
#[test]
fn keys_outlast_outages() {
    for key_limit in [1_000, 5_000, 60_000] {
        let settings = settings(2_000, key_limit);
        let time_left = settings.key_limit.since(settings.config_poll_wait());
        assert!(
            time_left.as_millis() * 10 >= key_limit * 6,
            "{time_left:?} of {key_limit}"
        );
    }
}

/// Two reads of the list, one of which fails, fit into the time after which a leaving endpoint must
/// not get requests; three polls fit into the limit on the age of keys.
#[test]
fn polls_within_limits() {
    for (drain_limit, key_limit) in [(500, 1_000), (2_000, 5_000), (4_000, 60_000)] {
        let settings = settings(drain_limit, key_limit);
        assert!(settings.list_poll_interval().as_millis() * 2 < drain_limit);
        assert!(settings.config_poll_wait().as_millis() * 3 < key_limit);
    }
}

/// A front that relies on the reads of others knew a leave up to 1.54 s late, which left too little of
/// the limit for a read whose response gets lost.
#[test]
fn list_age_leaves_time() {
    for drain_limit in [1_000, 2_000, 3_000, 5_000] {
        let age = settings(drain_limit, 5_000).max_list_age().as_millis();
        assert!(age + 800.min(drain_limit / 2) <= drain_limit, "{age}");
    }
}

/// With long limits, new endpoints and configurations are still found soon.
#[test]
fn long_limit_polls() {
    let settings = settings(600_000, 600_000);
    for interval in [settings.list_poll_interval(), settings.config_poll_wait()] {
        assert!(interval.as_millis() <= 2_000, "{interval:?}");
    }
}

#[test]
fn default_poll_rate() {
    let settings = settings(2_000, 5_000);
    let intervals = [settings.list_poll_interval(), settings.config_poll_wait()];
    let calls: f64 = intervals
        .iter()
        .map(|interval| 1e6 / interval.0 as f64)
        .sum();
    assert!(calls <= MAX_CALLS_PER_SECOND, "{calls} a second");
}
