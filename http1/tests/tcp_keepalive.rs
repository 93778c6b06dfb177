//! A peer that disappears without a reset is detected by TCP keepalive, which must be
//! enabled on each connection, outbound and inbound.

use {
    pitchhitch_http1::{TcpConnection, TcpKeepalive},
    rustix::net::sockopt,
    smol::Async,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        time::Duration,
    },
};

const ANY_LOCAL_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

fn keepalive_of(connection: &TcpConnection) -> TcpKeepalive {
    let socket = connection.socket();
    assert!(sockopt::socket_keepalive(socket).expect("option"));
    let interval = sockopt::tcp_keepidle(socket).expect("option");
    assert_eq!(interval, sockopt::tcp_keepintvl(socket).expect("option"));
    let user_timeout = sockopt::tcp_user_timeout(socket).expect("option");
    TcpKeepalive {
        probe_interval: interval,
        probes: sockopt::tcp_keepcnt(socket).expect("option"),
        user_timeout: Duration::from_millis(u64::from(user_timeout)),
    }
}

#[test]
fn keepalive_enabled() {
    smol::block_on(async {
        let listener = Async::<TcpListener>::bind(ANY_LOCAL_PORT).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let opened = TcpConnection::connect(address, CONNECT_TIMEOUT);
        let opened = opened.await.expect("a connection");
        let (accepted, _) = listener.accept().await.expect("a connection");
        let accepted =
            TcpConnection::new(accepted, &TcpKeepalive::INBOUND).expect("a wrapped connection");
        assert_eq!(keepalive_of(&opened), TcpKeepalive::OUTBOUND);
        assert_eq!(keepalive_of(&accepted), TcpKeepalive::INBOUND);
    });
}
