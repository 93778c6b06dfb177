//! Forged and replayed beacons are rejected.

use {
    pitchhitch_core::membership::{Beacon, EntryBeacon},
    pitchhitch_wire::beacon::{
        BeaconError, BeaconKey, BeaconSocket, NumberedBeacon, ReceiveError, MAX_BEACON_BYTES,
    },
    proptest::prelude::*,
    smol::{block_on, net::UdpSocket},
    std::net::SocketAddr,
};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn beacon(incarnation: u64) -> Beacon {
    Beacon::Entry(EntryBeacon {
        entry_id: "entry-1".to_string(),
        failure_domain: "d".to_string(),
        address: address(),
        peer_address: address(),
        incarnation,
        revision: 3,
        running: 1,
    })
}

fn numbered(counter: u64) -> NumberedBeacon {
    NumberedBeacon {
        counter,
        beacon: beacon(1),
    }
}

#[test]
fn own_key_opens() {
    let key = BeaconKey::from_secret("one");
    let datagram = numbered(1).seal(&key).expect("sealed");
    assert_eq!(NumberedBeacon::open(&datagram, &key), Ok(numbered(1)));
}

#[test]
fn other_key_refused() {
    let datagram = numbered(1)
        .seal(&BeaconKey::from_secret("one"))
        .expect("sealed");
    let opened = NumberedBeacon::open(&datagram, &BeaconKey::from_secret("two"));
    assert_eq!(opened, Err(BeaconError::Forged));
}

#[test]
fn every_changed_byte_detected() {
    let key = BeaconKey::from_secret("one");
    let datagram = numbered(1).seal(&key).expect("sealed");
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        assert!(
            NumberedBeacon::open(&changed, &key).is_err(),
            "byte {index}"
        );
    }
}

#[test]
fn replay_refused() {
    block_on(async {
        let key = BeaconKey::from_secret("one");
        let receiver = BeaconSocket::bind(address(), key).await.expect("receiver");
        let sender = UdpSocket::bind(address()).await.expect("sender");
        let target = receiver.local_addr().expect("address");
        let second = numbered(2).seal(&key).expect("sealed");
        let first = numbered(1).seal(&key).expect("sealed");
        let third = numbered(3).seal(&key).expect("sealed");
        for datagram in [&second, &second, &first, &third] {
            sender.send_to(datagram, target).await.expect("sent");
        }
        assert!(receiver.receive().await.is_ok());
        for _ in 0..2 {
            let refused = receiver.receive().await;
            assert!(
                matches!(refused, Err(ReceiveError::Replayed { .. })),
                "{refused:?}"
            );
        }
        assert!(receiver.receive().await.is_ok());
    });
}

#[test]
fn key_not_printed() {
    let text = format!("{:?}", BeaconKey::from_secret("one"));
    assert_eq!(text, "BeaconKey(..)");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_datagram_refused(bytes in proptest::collection::vec(any::<u8>(), 0..MAX_BEACON_BYTES / 16)) {
        prop_assert!(NumberedBeacon::open(&bytes, &BeaconKey::from_secret("one")).is_err());
    }
}
