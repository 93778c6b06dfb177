//! Servers that send bytes without end to the client of small requests.

use {
    pitchhitch_http1::{HttpClient, HttpFailure, HttpRequest},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
        time::Duration,
    },
};

/// Timeout of the requests; all of them end before it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Serves one connection: after the first bytes of a request, it repeats a text until the client
/// closes the connection.
fn serve_endlessly(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1 << 10]);
        let repeated = text.repeat((64 << 10) / text.len());
        while stream.write_all(repeated.as_bytes()).is_ok() {}
    });
    address
}

/// A client skipped interim responses for ever, and no other task of its thread ran.
#[test]
fn rejected_at_once() {
    for text in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "garbage ",
    ] {
        let mut client = HttpClient::new(serve_endlessly(text), TIMEOUT);
        let request = HttpRequest {
            method: "GET",
            target: "/",
            ..HttpRequest::default()
        };
        let failure = smol::block_on(client.call(request));
        assert!(
            matches!(failure, Err(HttpFailure::InvalidResponse)),
            "{text}: {failure:?}"
        );
    }
}
