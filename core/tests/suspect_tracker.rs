//! Requests during which endpoints crashed, as reported by several fronts.

use {
    pitchhitch_core::{
        serving::{
            CrashId, FingerprintInput, RequestFingerprint, SuspectCrash, SuspectKey, SuspectReport,
            SuspectStatus, SuspectTracker,
        },
        time::Micros,
    },
    proptest::prelude::*,
};

const NOW: Micros = Micros::from_secs(100);

fn request(body: &str) -> SuspectKey {
    SuspectKey::Request(RequestFingerprint::of(&FingerprintInput {
        method: "POST",
        host: "h.example",
        target: "/a/x",
        caller: "farm",
        body: body.as_bytes(),
    }))
}

/// A crash during a run whose sender knew of all earlier crashes.
fn crash(
    endpoint: u64,
    sent_ms: u64,
    ended_ms: u64,
) -> SuspectCrash {
    SuspectCrash {
        mark: CrashId::of("i", Some(endpoint)),
        organisation: 1,
        request: 1,
        sent: Micros::from_millis(sent_ms),
        ended: Micros::from_millis(ended_ms),
        known: u32::MAX,
    }
}

/// A crash during a run whose sender knew of `known` earlier crashes.
fn crash_knowing(
    known: u32,
    endpoint: u64,
    sent_ms: u64,
    ended_ms: u64,
) -> SuspectCrash {
    SuspectCrash {
        known,
        ..crash(endpoint, sent_ms, ended_ms)
    }
}

fn status_at(
    tracker: &SuspectTracker,
    now: Micros,
) -> SuspectStatus {
    tracker.status(request("a"), 0.0, now)
}

fn crashed(crashes: &[SuspectCrash]) -> SuspectTracker {
    let mut tracker = SuspectTracker::default();
    for crash in crashes {
        tracker.record_crash(request("a"), *crash);
    }
    tracker
}

#[test]
fn third_crash_blocks() {
    let one = crash(1, 100, 200);
    let two = crash(2, 200, 300);
    let three = crash(3, 1_400, 1_500);
    let at = Micros::from_millis;
    let first = crashed(&[one]);
    assert_eq!(status_at(&first, at(200)), SuspectStatus::Suspect(1));
    let second = crashed(&[one, two]);
    assert_eq!(
        status_at(&second, at(300)),
        SuspectStatus::BackingOff(at(1_000))
    );
    assert_eq!(status_at(&second, at(1_300)), SuspectStatus::Suspect(2));
    let third = crashed(&[one, two, three]);
    assert_eq!(
        status_at(&third, at(1_500)),
        SuspectStatus::Blocked(at(600_000))
    );
    assert_eq!(status_at(&third, at(601_500)), SuspectStatus::Clear);
    assert_eq!(
        third.status(request("b"), 0.0, at(1_500)),
        SuspectStatus::Clear
    );
}

/// Fronts have different retry delays, so that one retries while the others wait.
#[test]
fn retry_delays_differ() {
    let tracker = crashed(&[crash(1, 100, 200), crash(2, 200, 300)]);
    let at = Micros::from_millis(300);
    assert_eq!(
        tracker.status(request("a"), 0.5, at),
        SuspectStatus::BackingOff(Micros::from_millis(1_500))
    );
}

/// A request that many callers send runs on each engine of a rack that loses power.
#[test]
fn simultaneous_crashes() {
    let together: Vec<SuspectCrash> = (0..40).map(|n| crash(n, 100 + n, 300 + n)).collect();
    let tracker = crashed(&together);
    assert_eq!(
        status_at(&tracker, Micros::from_millis(400)),
        SuspectStatus::Suspect(1)
    );
}

/// Three endpoints crash within a tenth of a second during a request that many callers send. The
/// sender of the second run did not know of the first crash, so this run may have shared its
/// endpoint with other suspects, and its crash does not count. A harmless request was blocked after
/// three crashes in quick succession.
#[test]
fn uninformed_sender_ignored() {
    let at = Micros::from_millis;
    let unknowing = [
        crash_knowing(0, 1, 0, 20),
        crash_knowing(0, 2, 25, 60),
        crash_knowing(1, 3, 70, 100),
    ];
    let tracker = crashed(&unknowing[..2]);
    assert_eq!(status_at(&tracker, at(60)), SuspectStatus::Suspect(1));
    // The sender of the third run knew of the only crash that counted until then, so it counts.
    let tracker = crashed(&unknowing);
    assert_eq!(status_at(&tracker, at(1_200)), SuspectStatus::Suspect(2));
    // The sender of the fourth run knew of both. A front that receives no reports from others
    // learns of crashes only by observing them itself.
    let mut knowing = unknowing.to_vec();
    knowing.push(crash_knowing(2, 4, 1_300, 1_400));
    let status = status_at(&crashed(&knowing), at(1_500));
    assert!(matches!(status, SuspectStatus::Blocked(_)), "{status:?}");
}

/// Regardless of how many endpoints crash together, the crashes that count are retained.
#[test]
fn counted_are_kept() {
    let mut crashes = vec![crash(1, 0, 100), crash(2, 200, 300)];
    crashes.extend((10..30).map(|n| crash(n, 250, 400 + n)));
    crashes.push(crash(50, 2_000, 2_100));
    let tracker = crashed(&crashes);
    let status = status_at(&tracker, Micros::from_millis(2_200));
    assert!(matches!(status, SuspectStatus::Blocked(_)), "{status:?}");
}

#[test]
fn response_clears() {
    let crashes = [
        crash(1, 100, 200),
        crash(2, 200, 300),
        crash(3, 2_000, 2_100),
    ];
    let mut tracker = crashed(&crashes);
    let answered = Micros::from_millis(2_500);
    assert!(tracker.record_response(request("a"), answered));
    assert_eq!(status_at(&tracker, answered), SuspectStatus::Clear);
    // For some time after the response, crashes are attributed to another cause.
    tracker.record_crash(request("a"), crash(4, 3_000, 3_100));
    assert_eq!(
        status_at(&tracker, Micros::from_millis(3_200)),
        SuspectStatus::Clear
    );
    let later = Micros::from_millis(23_000);
    assert_eq!(status_at(&tracker, later), SuspectStatus::Suspect(1));
}

#[test]
fn cleared_request_pruned() {
    let mut tracker = crashed(&[crash(1, 100, 200)]);
    tracker.record_response(request("a"), Micros::from_millis(300));
    tracker.prune(Micros::from_secs(10));
    assert_eq!(tracker.len(), 1);
    tracker.prune(Micros::from_secs(21));
    assert!(tracker.is_empty() && !tracker.has_updates());
}

/// Ten thousand different requests evict each other, not the one that is blocked.
#[test]
fn blocked_request_kept() {
    let mut tracker = crashed(&[crash(1, 100, 200), crash(2, 200, 300), crash(3, 400, 500)]);
    for number in 0..10_000 {
        let other = request(&number.to_string());
        tracker.record_crash(other, crash(10 + number, 600 + number, 700 + number));
    }
    assert_eq!(tracker.len(), 1_024);
    let status = status_at(&tracker, Micros::from_secs(11));
    assert!(matches!(status, SuspectStatus::Blocked(_)), "{status:?}");
}

/// Requests that differ in one field, or in where one field ends and the next begins, have
/// different fingerprints.
#[test]
fn fields_distinct() {
    let input = FingerprintInput {
        method: "POST",
        host: "h",
        target: "/a",
        caller: "b",
        body: b"c",
    };
    let others = [
        FingerprintInput {
            method: "PUT",
            ..input
        },
        FingerprintInput {
            host: "h2",
            ..input
        },
        FingerprintInput {
            target: "/",
            caller: "ab",
            ..input
        },
        FingerprintInput {
            caller: "",
            body: b"bc",
            ..input
        },
        FingerprintInput { body: b"", ..input },
    ];
    let known = RequestFingerprint::of(&input);
    assert!(others
        .iter()
        .all(|other| RequestFingerprint::of(other) != known));
    assert_eq!(RequestFingerprint::parse(&known.to_string()), Some(known));
    assert_eq!(RequestFingerprint::parse("+1"), None);
}

fn crashes() -> impl Strategy<Value = Vec<SuspectCrash>> {
    let one = (0u64..6, 0u64..5_000, 1u64..400, 0u32..4).prop_map(|(mark, sent, ran, known)| {
        // Each incarnation of an endpoint crashes once.
        let (sent, ended) = (500 * mark + sent % 400, 500 * mark + 400 + ran % 50);
        crash_knowing(known, mark, sent, ended)
    });
    proptest::collection::vec(one, 0..8)
}

proptest! {
    /// Reports of two fronts can be merged in any order and any number of times.
    #[test]
    fn reports_merge(
        seen in crashes(),
        order in proptest::collection::vec(0usize..8, 0..30),
    ) {
        let report = |crash: &SuspectCrash| SuspectReport {
            key: request("a"),
            crashes: vec![SuspectCrash {
                sent: NOW.since(crash.sent),
                ended: NOW.since(crash.ended),
                ..*crash
            }],
            answered: None,
        };
        let expected = crashed(&seen);
        let mut tracker = SuspectTracker::default();
        for index in order {
            if let Some(crash) = seen.get(index) {
                tracker.merge(&report(crash), NOW);
            }
        }
        for crash in seen.iter().rev() {
            tracker.merge(&report(crash), NOW);
        }
        let is_blocked = |tracker: &SuspectTracker| {
            matches!(status_at(tracker, NOW), SuspectStatus::Blocked(_))
        };
        prop_assert_eq!(is_blocked(&tracker), is_blocked(&expected));
        // Merging all of it again changes nothing, so it is not forwarded.
        let again = expected.reports(NOW);
        prop_assert!(again.iter().all(|report| !tracker.merge(report, NOW)));
    }
}
