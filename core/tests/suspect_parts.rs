//! Parts of prompts that are suspected of crashing endpoints.

use {
    pitchhitch_core::{
        serving::{
            CrashId, PartId, ProvenParts, RequestFingerprint, SuspectCrash, SuspectKey,
            SuspectPart, SuspectStatus, SuspectTracker,
        },
        time::Micros,
    },
    proptest::prelude::*,
};

const OWNER: u32 = 7;
const OTHER: u32 = 8;

fn part(id: &str) -> SuspectPart {
    SuspectPart::of("m", PartId::parse(id).expect("hex digits"))
}

fn key(id: &str) -> SuspectKey {
    SuspectKey::Part(part(id))
}

/// The crash of endpoint `number` during a request of `OWNER`, whose sender knew of all earlier ones.
fn crash(number: u64) -> SuspectCrash {
    SuspectCrash {
        mark: CrashId::of("i", Some(number)),
        organisation: OWNER,
        request: number,
        sent: Micros::from_secs(number * 2),
        ended: Micros::from_millis(number * 2_000 + 100),
        known: u32::MAX,
    }
}

/// A tracker in which these endpoints crashed with these parts.
fn crashed(crashes: &[(&str, &[u64])]) -> SuspectTracker {
    let mut tracker = SuspectTracker::default();
    for (id, numbers) in crashes {
        for number in *numbers {
            tracker.record_crash(key(id), crash(*number));
        }
    }
    tracker
}

/// Status of a request with these parts after all crashes, when endpoints have restarted.
fn status(
    tracker: &SuspectTracker,
    ids: &[&str],
    organisation: u32,
) -> SuspectStatus {
    let keys: Vec<SuspectKey> = ids.iter().map(|id| key(id)).collect();
    tracker.request_status(&keys, organisation, 0.0, Micros::from_secs(60))
}

fn is_blocked(
    tracker: &SuspectTracker,
    ids: &[&str],
) -> bool {
    matches!(status(tracker, ids, OWNER), SuspectStatus::Blocked(_))
}

/// Requests that share only one part crash an endpoint each, and none is recognised.
#[test]
fn third_request_blocks() {
    let tracker = crashed(&[("aa", &[1, 2])]);
    assert_eq!(status(&tracker, &["aa"], OWNER), SuspectStatus::Suspect(2));
    let tracker = crashed(&[("aa", &[1, 2, 3])]);
    assert!(is_blocked(&tracker, &["bb", "aa"]));
    assert_eq!(status(&tracker, &["bb"], OWNER), SuspectStatus::Clear);
}

/// One request that crashes endpoints discredits the parts of its prompt.
#[test]
fn repeated_request_counts_once() {
    let mut tracker = SuspectTracker::default();
    for number in 1..=5 {
        let repeated = SuspectCrash {
            request: 1,
            ..crash(number)
        };
        tracker.record_crash(key("aa"), repeated);
    }
    assert_eq!(status(&tracker, &["aa"], OWNER), SuspectStatus::Suspect(1));
}

/// A part that comes only with one that crashes endpoints is blocked with it for all requests.
#[test]
fn companion_part_tried() {
    let mut tracker = crashed(&[("aa", &[1, 2, 3]), ("bb", &[1, 2, 3])]);
    assert!(is_blocked(&tracker, &["aa", "bb"]));
    assert_eq!(status(&tracker, &["bb"], OWNER), SuspectStatus::Suspect(2));
    // The other one without it crashes an endpoint, which tells them apart.
    assert_eq!(status(&tracker, &["aa"], OWNER), SuspectStatus::Suspect(2));
    tracker.record_crash(key("aa"), crash(4));
    assert!(is_blocked(&tracker, &["aa"]));
    assert_eq!(status(&tracker, &["bb"], OWNER), SuspectStatus::Suspect(2));
    tracker.record_response(key("bb"), Micros::from_secs(59));
    assert_eq!(status(&tracker, &["bb"], OWNER), SuspectStatus::Clear);
}

/// A part that comes with several which crash endpoints is not blocked for their sake.
#[test]
fn common_companion_tried() {
    let tracker = crashed(&[
        ("aa", &[1, 3, 5]),
        ("bb", &[2, 4, 6]),
        ("cc", &[1, 2, 3, 4]),
    ]);
    assert_eq!(status(&tracker, &["cc"], OWNER), SuspectStatus::Suspect(2));
    assert!(is_blocked(&tracker, &["cc", "aa"]) && is_blocked(&tracker, &["bb"]));
}

/// An organisation names a part of another one in requests that crash endpoints.
#[test]
fn foreign_organisation_tried() {
    let mut tracker = crashed(&[("aa", &[1, 2, 3])]);
    assert!(is_blocked(&tracker, &["aa"]));
    assert_eq!(status(&tracker, &["aa"], OTHER), SuspectStatus::Suspect(2));
    let foreign = SuspectCrash {
        organisation: OTHER,
        ..crash(4)
    };
    tracker.record_crash(key("aa"), foreign);
    for organisation in [OWNER, OTHER, 9] {
        let status = status(&tracker, &["aa"], organisation);
        assert!(
            matches!(status, SuspectStatus::Blocked(_)),
            "{organisation}: {status:?}"
        );
    }
}

/// Endpoints crash for another reason, and a part that is in most prompts is blocked.
#[test]
fn answered_part_kept() {
    let answered = Micros::from_secs(1);
    let later = Micros::from_secs(12);
    let status_after = |crashes: u64| {
        let mut tracker = SuspectTracker::default();
        for number in 1..=crashes {
            tracker.record_crash(key("aa"), crash(number));
            tracker.record_response(key("aa"), answered);
        }
        tracker.status(key("aa"), 0.0, later)
    };
    assert_eq!(status_after(2), SuspectStatus::Clear);
    assert_eq!(status_after(3), SuspectStatus::Suspect(1));
    // It does not protect a part that has begun to crash endpoints.
    assert!(matches!(status_after(5), SuspectStatus::Blocked(_)));
}

/// The proof of one front reaches those that had no answer with the part.
#[test]
fn earlier_answer_reported() {
    let mut tracker = crashed(&[("aa", &[1])]);
    while tracker.has_updates() {
        tracker.take_updates(10, Micros::from_secs(3));
    }
    assert!(tracker.record_response(key("aa"), Micros::from_secs(1)));
    assert!(tracker.has_updates());
    let reports = tracker.take_updates(10, Micros::from_secs(3));
    let mut other = SuspectTracker::default();
    for report in &reports {
        other.merge(report, Micros::from_secs(3));
    }
    let now = Micros::from_secs(4);
    assert_eq!(other.status(key("aa"), 0.0, now), SuspectStatus::Clear);
}

#[test]
fn keys_parsed() {
    let request = RequestFingerprint::parse(&"0f".repeat(16)).map(SuspectKey::Request);
    for key in [key("00aa"), key("f"), request.expect("a fingerprint")] {
        assert_eq!(SuspectKey::parse(&key.to_string()), Some(key));
    }
    assert_ne!(
        SuspectKey::Part(SuspectPart::of(
            "n",
            PartId::parse("f").expect("hex digits")
        )),
        key("f")
    );
    for text in [
        "",
        "aa",
        "aa-",
        "aa-12",
        "-0123456789abcdef",
        "aa-+123456789abcdef",
    ] {
        assert_eq!(SuspectKey::parse(text), None, "{text}");
    }
}

/// Proofs take up a bounded amount of memory, and expire.
#[test]
fn proofs_bounded() {
    let mut proven = ProvenParts::default();
    let parts = (0..20_000).map(|number| part(&format!("{number:x}")));
    for (number, part) in parts.enumerate() {
        proven.record(part, Micros::from_millis(number as u64));
    }
    assert!(proven.len() <= 4_096);
    let now = Micros::from_secs(20);
    let last = part(&format!("{:x}", 19_999));
    assert!(proven.proven_at(last, now).is_some());
    assert_eq!(proven.proven_at(last, Micros::from_secs(60)), None);
}

proptest! {
    /// Fronts that receive the same reports in any order agree about every request.
    #[test]
    fn reports_agree(
        crashes in proptest::collection::vec((0usize..3, 0u64..6, 0u64..4, 0u32..3), 0..12),
        order in proptest::collection::vec(0usize..12, 0..20),
    ) {
        let now = Micros::from_secs(60);
        let ids = ["aa", "bb", "cc"];
        let reports: Vec<_> = crashes
            .iter()
            .flat_map(|(id, number, request, organisation)| {
                let mut one = SuspectTracker::default();
                let seen = SuspectCrash {
                    request: *request,
                    organisation: *organisation,
                    ..crash(*number)
                };
                one.record_crash(key(ids[*id]), seen);
                one.reports(now)
            })
            .collect();
        let merged = |indexes: &mut dyn Iterator<Item = usize>| {
            let mut tracker = SuspectTracker::default();
            for report in indexes.filter_map(|index| reports.get(index)) {
                tracker.merge(report, now);
            }
            tracker
        };
        let one = merged(&mut (0..reports.len()));
        let other = merged(&mut order.iter().copied().chain((0..reports.len()).rev()));
        for ids in [&["aa"][..], &["bb", "cc"], &["aa", "bb", "cc"]] {
            for organisation in 0..3 {
                prop_assert_eq!(
                    status(&one, ids, organisation),
                    status(&other, ids, organisation)
                );
            }
        }
    }
}
