//! Datagrams between fronts and the processes beside engines.

use {
    pitchhitch_wire::{beacon::BeaconKey, beside::BesideSocket},
    smol::{future::or, Timer},
    std::{
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
};

type Words = Vec<u64>;

fn socket(secret: Option<&str>) -> BesideSocket {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = smol::block_on(BesideSocket::bind(any)).expect("bound");
    socket.with_key(secret.map(BeaconKey::from_secret))
}

fn address(socket: &BesideSocket) -> SocketAddr {
    socket.local_address().expect("bound")
}

/// The next message, or nothing within a moment.
fn next(socket: &BesideSocket) -> Option<Words> {
    let heard = async { socket.receive::<Words>().await.ok().map(|(words, _)| words) };
    let late = async {
        Timer::after(Duration::from_millis(300)).await;
        None
    };
    smol::block_on(or(heard, late))
}

fn send(
    from: &BesideSocket,
    to: &BesideSocket,
    words: &[u64],
) {
    smol::block_on(from.send(&words.to_vec(), address(to))).expect("sent");
}

#[test]
fn ours_taken() {
    for secret in [None, Some("a secret")] {
        let (one, other) = (socket(secret), socket(secret));
        send(&one, &other, &[1, 2, 3]);
        assert_eq!(next(&other), Some(vec![1, 2, 3]));
        assert_eq!(other.strangers(), 0);
    }
}

#[test]
fn strangers_counted() {
    let own = socket(Some("a secret"));
    for secret in [None, Some("another")] {
        send(&socket(secret), &own, &[1]);
    }
    assert_eq!(next(&own), None);
    assert_eq!(own.strangers(), 2);
}

/// Cut, changed and overlong datagrams are dropped, and the next sound one is taken.
#[test]
fn damaged_dropped() {
    let own = socket(Some("a secret"));
    let friend = socket(Some("a secret"));
    let tap = UdpSocket::bind("127.0.0.1:0").expect("bound");
    smol::block_on(friend.send(&vec![1u64, 2, 3], tap.local_addr().expect("bound"))).expect("sent");
    let mut bytes = vec![0; 60_000];
    let count = tap.recv(&mut bytes).expect("heard");
    let sound = bytes[..count].to_vec();
    let mut damaged = vec![Vec::new(), vec![0; 3], sound[1..].to_vec(), vec![0; 59_000]];
    damaged.extend((0..sound.len()).map(|length| sound[..length].to_vec()));
    damaged.extend((0..sound.len()).map(|place| {
        let mut changed = sound.clone();
        changed[place] ^= 1;
        changed
    }));
    for datagram in &damaged {
        tap.send_to(datagram, address(&own)).expect("sent");
        assert_eq!(next_fast(&own), None);
    }
    assert_eq!(own.strangers(), damaged.len() as u64);
    tap.send_to(&sound, address(&own)).expect("sent");
    assert_eq!(next(&own), Some(vec![1, 2, 3]));
}

fn next_fast(socket: &BesideSocket) -> Option<Words> {
    let heard = async { socket.receive::<Words>().await.ok().map(|(words, _)| words) };
    let late = async {
        Timer::after(Duration::from_millis(20)).await;
        None
    };
    smol::block_on(or(heard, late))
}
