//! A peer must learn that nobody reads its response any more.

use {
    pitchhitch_http1::{TcpConnection, TcpKeepalive},
    std::{
        io::{ErrorKind, Read},
        net::TcpListener,
        time::Duration,
    },
};

/// Opens a connection, writes a request, drops the connection and returns what the peer reads after
/// the request.
fn read_after_drop(resets: bool) -> Result<usize, ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = TcpConnection::connect(address, Duration::from_secs(5));
    let connection = smol::block_on(connecting).expect("connected");
    let (mut peer, _) = listener.accept().expect("accepted");
    connection
        .try_write(b"POST / HTTP/1.1\r\n\r\n")
        .expect("written");
    if resets {
        connection.reset_on_drop();
    }
    drop(connection);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(peer.read(&mut [0; 64]).ok(), Some(19));
    peer.read(&mut [0; 64]).map_err(|error| error.kind())
}

/// An endpoint works on for a caller that has left, as it takes the close for the end of the request.
#[test]
fn reset_noticed() {
    assert_eq!(read_after_drop(true), Err(ErrorKind::ConnectionReset));
    assert_eq!(read_after_drop(false), Ok(0), "closed in order");
}

/// Guards against a truncated body without a length that is taken for complete: a write that fails
/// takes note of the reset, and the next read finds an orderly close.
#[test]
fn reset_seen_after_write() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = TcpConnection::connect(address, Duration::from_secs(5));
    let mut connection = smol::block_on(connecting).expect("connected");
    let (peer, _) = listener.accept().expect("accepted");
    let peer = smol::Async::new(peer).expect("a socket");
    let peer = TcpConnection::new(peer, &TcpKeepalive::OUTBOUND).expect("a connection");
    peer.try_write(b"half").expect("written");
    peer.reset_on_drop();
    drop(peer);
    std::thread::sleep(Duration::from_millis(50));
    assert!(connection.try_write(b"more").is_err());
    assert_eq!(connection.try_read().ok(), Some(Some(4)));
    let end = connection.try_read();
    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
}
