//! The link between two processes, over loopback.

use {
    pitchhitch_core::role::{AgentPulse, ConfigNotice},
    pitchhitch_wire::{
        link::{serve_link, AgentLink, LinkError, ReplySender},
        messages::{LinkCall, LinkReply},
    },
    smol::{
        block_on,
        net::{TcpListener, TcpStream},
        spawn, Task,
    },
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);
const CHUNK: usize = 16 * 1024;

fn pulse() -> AgentPulse {
    AgentPulse {
        load: pitchhitch_core::route::LoadReport::default(),
        refusing: false,
        exporting: 0,
        taken_up: 0,
    }
}

fn call(revision: u64) -> LinkCall {
    LinkCall::Notice(ConfigNotice {
        revision,
        leaving: false,
        box_leaving: false,
    })
}

/// Replies to a call with as many chunks as the revision in the call, then ends the stream.
async fn send_replies(
    call: LinkCall,
    mut replies: ReplySender,
) {
    let LinkCall::Notice(notice) = call else {
        return;
    };
    for _ in 0..notice.revision {
        if replies
            .send(&LinkReply::Chunk(vec![7; CHUNK]))
            .await
            .is_err()
        {
            return;
        }
    }
    let end = LinkReply::End {
        body_bytes: notice.revision * CHUNK as u64,
        pulse: pulse(),
    };
    if replies.send(&end).await.is_ok() {
        let _ = replies.end();
    }
}

struct Server {
    address: SocketAddr,
    _task: Task<()>,
}

async fn server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let task = spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(async move {
                let _ = serve_link(stream, |incoming| {
                    spawn(async move {
                        if let Ok((call, replies)) = incoming.read().await {
                            send_replies(call, replies).await;
                        }
                    })
                    .detach();
                })
                .await;
            })
            .detach();
        }
    });
    Server {
        address,
        _task: task,
    }
}

async fn connect(address: SocketAddr) -> (AgentLink, Task<()>) {
    let (link, driver) = AgentLink::connect(address, TIMEOUT).await.expect("link");
    (link, spawn(driver))
}

#[test]
fn complete_response_received() {
    block_on(async {
        let server = server().await;
        let (link, _driver) = connect(server.address).await;
        let mut replies = link.call(&call(20)).await.expect("call");
        let mut bytes = 0;
        loop {
            match replies.next().await.expect("reply").expect("not ended") {
                LinkReply::Chunk(chunk) => bytes += chunk.len() as u64,
                LinkReply::End { body_bytes, .. } => {
                    assert_eq!(bytes, body_bytes);
                    break;
                }
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(replies.next().await.expect("end"), None);
    });
}

#[test]
fn unread_stream_does_not_block_others() {
    block_on(async {
        let server = server().await;
        let (link, _driver) = connect(server.address).await;
        // These streams are not read; their replies are far larger than the flow-control windows.
        let mut unread = Vec::new();
        for _ in 0..20 {
            unread.push(link.call(&call(1_000)).await.expect("call"));
        }
        let mut replies = link.call(&call(50)).await.expect("call");
        let mut chunks = 0;
        while let Some(reply) = replies.next().await.expect("reply") {
            chunks += u32::from(matches!(reply, LinkReply::Chunk(_)));
        }
        assert_eq!(chunks, 50);
    });
}

#[test]
fn refused_connection_is_not_sent() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        drop(listener);
        let error = AgentLink::connect(address, TIMEOUT)
            .await
            .map(|_| ())
            .expect_err("refused");
        assert!(matches!(error, LinkError::NotSent { .. }), "{error}");
    });
}

#[test]
fn broken_link_reported() {
    block_on(async {
        let server = server().await;
        let (link, driver) = connect(server.address).await;
        let mut replies = link.call(&call(1_000_000)).await.expect("call");
        assert!(replies.next().await.is_ok());
        driver.cancel().await;
        let error = loop {
            match replies.next().await {
                Ok(Some(_)) => {}
                Ok(None) => panic!("a broken stream must not end normally"),
                Err(error) => break error,
            }
        };
        assert!(matches!(error, LinkError::Broken { .. }), "{error}");
        let error = link.call(&call(1)).await.map(|_| ()).expect_err("gone");
        assert!(matches!(error, LinkError::NotSent { .. }), "{error}");
    });
}

#[test]
fn garbage_ends_one_link() {
    block_on(async {
        let server = server().await;
        let mut garbage = TcpStream::connect(server.address).await.expect("stream");
        futures_lite::AsyncWriteExt::write_all(&mut garbage, &[9; 4_096])
            .await
            .expect("sent");
        let (link, _driver) = connect(server.address).await;
        let mut replies = link.call(&call(1)).await.expect("call");
        assert!(matches!(
            replies.next().await,
            Ok(Some(LinkReply::Chunk(_)))
        ));
    });
}
