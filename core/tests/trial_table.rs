//! Runs of suspects, and the endpoints that accept no further suspect.

use {
    pitchhitch_core::{
        serving::{EndpointKey, FingerprintInput, RequestFingerprint, SuspectKey, TrialTable},
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
    table.begin(1, request(b"a"), first, false);
    assert!(table.full_endpoints(false, NOW).is_empty());
    table.begin(2, request(b"b"), first, false);
    assert!(table.full_endpoints(false, NOW).contains(&first));
    table.end(1);
    assert!(table.full_endpoints(false, NOW).is_empty());
}

/// A suspect with two crashes runs without another suspect on its endpoint, whichever of the two is
/// sent first.
#[test]
fn exclusive_run() {
    let [first, second] = endpoints();
    let mut table = TrialTable::default();
    table.begin(1, request(b"a"), first, false);
    table.begin(2, request(b"b"), second, true);
    assert_eq!(table.full_endpoints(true, NOW), [first, second]);
    assert_eq!(table.full_endpoints(false, NOW), [second]);
}

/// A run counts as harmless a moment after its first event, or when it ends.
#[test]
fn first_event_clears() {
    let [first, _] = endpoints();
    let mut table = TrialTable::default();
    table.begin(1, request(b"a"), first, true);
    table.record_first_event(1, NOW);
    assert!(table.has_active(&request(b"a"), NOW + Micros::from_millis(200)));
    assert!(!table.has_active(&request(b"b"), NOW));
    let later = NOW + Micros::from_millis(400);
    assert!(
        !table.has_active(&request(b"a"), later) && table.full_endpoints(false, later).is_empty()
    );
}
