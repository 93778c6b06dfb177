//! Datagrams between fronts and the processes beside engines.

use {
    pitchhitch_core::{
        serving::{EngineLoad, NamespaceTag, PartId, SendGrant},
        time::Micros,
    },
    pitchhitch_wire::{
        beacon::BeaconKey,
        beside::{BesideSocket, DigestPart, EngineDigest, GreetingEcho, ToldDigest, WrittenDigest},
        codec::{decode_body, encode_body},
    },
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

/// A digest that is written once for all is read as one that is written for one front, and
/// parts keep their order inside each wall.
#[test]
fn digest_written_once() {
    let part = |wall, id: &str, tokens| DigestPart {
        wall: NamespaceTag(wall),
        id: PartId::parse(id).expect("hex"),
        tokens,
    };
    let digest = EngineDigest {
        engine: SocketAddr::from(([10, 0, 0, 1], 80)),
        life: 1,
        number: 2,
        changes: 3,
        is_change: true,
        born: Some(4),
        load: EngineLoad::default(),
        weights: vec![("m".to_string(), 5)],
        clock_ms: None,
        fronts: 6,
        forgets: false,
        is_whole: false,
        parts: vec![part(1, "aa", 10), part(2, "bb", 20), part(1, "aa", 0)],
        suspects: Vec::new(),
        has_all_suspects: false,
        endpoint: None,
        proofs: Vec::new(),
        stores: Vec::new(),
    };
    let echo = Some(GreetingEcho {
        number: 7,
        age: Micros(8),
        grant: SendGrant { per_second: 7 },
    });
    let written = WrittenDigest::new(&digest).expect("written");
    let bytes = written.told(echo).expect("written");
    let told: ToldDigest = decode_body(&bytes).expect("read");
    let grouped = vec![part(1, "aa", 10), part(1, "aa", 0), part(2, "bb", 20)];
    assert_eq!((told.echo, &told.digest.parts), (echo, &grouped));
    assert_eq!(
        told.digest,
        EngineDigest {
            parts: grouped,
            ..digest.clone()
        }
    );
    assert_eq!(encode_body(&ToldDigest { digest, echo }), Ok(bytes));
}
