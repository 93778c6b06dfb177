//! Guards against bytes missing in the middle of a connection that the fault proxy cuts: what
//! arrives must be a prefix of what was sent.

use {
    futures_lite::{AsyncReadExt, AsyncWriteExt},
    pitchhitch_process::spawn_detached,
    pitchhitch_testbed::proxy::FaultProxy,
    smol::{
        block_on,
        net::{TcpListener, TcpStream},
    },
};

/// More than the proxy forwards at once, so that it must read again.
const MESSAGE: usize = 64 * 1024;
const CUT: usize = 777;

/// Greets, waits for one byte and sends message after message, each of another letter.
async fn send_messages(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a caller");
    stream.write_all(b"!").await.expect("a greeting");
    let mut question = [0];
    stream.read_exact(&mut question).await.expect("a question");
    for letter in b'a'..=b'z' {
        if stream.write_all(&[letter; MESSAGE]).await.is_err() {
            return;
        }
    }
}

#[test]
fn nothing_after_cut() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let target = listener.local_addr().expect("an address");
        spawn_detached(send_messages(listener));
        let proxy = FaultProxy::start(target).await.expect("a proxy");
        let mut stream = TcpStream::connect(proxy.address)
            .await
            .expect("a connection");
        let mut greeting = [0];
        stream.read_exact(&mut greeting).await.expect("a greeting");
        proxy.cut_after(CUT as u64);
        stream.write_all(b"?").await.expect("a question");
        let mut received = Vec::new();
        // The cut may show as an end or as a reset.
        let _ = stream.read_to_end(&mut received).await;
        assert_eq!(received.len(), CUT);
        let sent = (b'a'..=b'z').flat_map(|letter| [letter; MESSAGE]);
        assert!(sent.take(CUT).eq(received), "bytes went missing");
    });
}
