//! Runs of suspects, and the endpoints that accept no further suspect.

use {
    pitchhitch_core::{
        serving::{
            EndpointKey, FingerprintInput, RequestFingerprint, SuspectKey, TrialKind, TrialTable,
        },
        time::Micros,
    },
    slotmap::SlotMap,
};

const NOW: Micros = Micros::from_secs(10);

fn request(body: &[u8]) -> Vec<SuspectKey> {
    let fingerprint = RequestFingerprint::of(&FingerprintInput {
        method: "POST",
        host: "h",
        target: "/a",
        caller: "farm",
        body,
    });
    vec![SuspectKey::Request(fingerprint)]
}

fn endpoints() -> [EndpointKey; 2] {
    let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    [(); 2].map(|()| keys.insert(()))
}

#[test]
fn two_at_most() {
    let [first, _] = endpoints();
    let mut table = TrialTable::default();
    table.begin(1, request(b"a"), first, TrialKind::Paired);
    assert!(table.full_endpoints(TrialKind::Paired, NOW).is_empty());
    table.begin(2, request(b"b"), first, TrialKind::Paired);
    assert!(table
        .full_endpoints(TrialKind::Paired, NOW)
        .contains(&first));
    table.end(1);
    assert!(table.full_endpoints(TrialKind::Paired, NOW).is_empty());
}

/// A suspect with two crashes runs without another suspect on its endpoint, whichever of the two is
/// sent first.
#[test]
fn exclusive_run() {
    let [first, second] = endpoints();
    let mut table = TrialTable::default();
    table.begin(1, request(b"a"), first, TrialKind::Paired);
    table.begin(2, request(b"b"), second, TrialKind::Exclusive);
    assert_eq!(
        table.full_endpoints(TrialKind::Exclusive, NOW),
        [first, second]
    );
    assert_eq!(table.full_endpoints(TrialKind::Paired, NOW), [second]);
}

/// A run counts as harmless a moment after its first event, or when it ends.
#[test]
fn first_event_clears() {
    let [first, _] = endpoints();
    let mut table = TrialTable::default();
    table.begin(1, request(b"a"), first, TrialKind::Exclusive);
    table.record_first_event(1, NOW);
    assert!(table.has_active(&request(b"a"), NOW + Micros::from_millis(200)));
    assert!(!table.has_active(&request(b"b"), NOW));
    let later = NOW + Micros::from_millis(400);
    assert!(
        !table.has_active(&request(b"a"), later)
            && table.full_endpoints(TrialKind::Paired, later).is_empty()
    );
}

/// Most prompts have a part that was on a crashed endpoint: they take no slots of other suspects.
#[test]
fn single_runs_take_no_slot() {
    let [first, second] = endpoints();
    let mut table = TrialTable::default();
    for ticket in 0..5 {
        table.begin(ticket, request(&[ticket as u8]), first, TrialKind::Single);
    }
    assert!(table.full_endpoints(TrialKind::Exclusive, NOW).is_empty());
    assert!(table.has_active(&request(&[3]), NOW));
    table.begin(9, request(b"a"), second, TrialKind::Exclusive);
    assert_eq!(table.full_endpoints(TrialKind::Paired, NOW), [second]);
}
