//! A connection whose other side says nothing at all, without a reset, is found
//! by the system: it is asked to on each connection, both ways.

use {
    pitchhitch_http1::{ByteLink, SilenceLimit},
    rustix::net::sockopt,
    smol::Async,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        time::Duration,
    },
};

const HERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPEN_LIMIT: Duration = Duration::from_secs(30);

fn watch_of(link: &ByteLink) -> SilenceLimit {
    let socket = link.socket();
    assert!(sockopt::socket_keepalive(socket).expect("option"));
    let pause = sockopt::tcp_keepidle(socket).expect("option");
    assert_eq!(pause, sockopt::tcp_keepintvl(socket).expect("option"));
    let unacknowledged = sockopt::tcp_user_timeout(socket).expect("option");
    SilenceLimit {
        probe_pause: pause,
        probes: sockopt::tcp_keepcnt(socket).expect("option"),
        unacknowledged: Duration::from_millis(u64::from(unacknowledged)),
    }
}

#[test]
fn both_ends_watched() {
    smol::block_on(async {
        let listener = Async::<TcpListener>::bind(HERE).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let opened = ByteLink::open(address, OPEN_LIMIT);
        let opened = opened.await.expect("a connection");
        let (taken, _) = listener.accept().await.expect("a connection");
        let taken = ByteLink::new(taken, &SilenceLimit::INWARD).expect("a link");
        assert_eq!(watch_of(&opened), SilenceLimit::OUTWARD);
        assert_eq!(watch_of(&taken), SilenceLimit::INWARD);
    });
}
