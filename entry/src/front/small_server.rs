use {
    super::{within, FrontContext},
    pitchhitch_core::time::Micros,
    pitchhitch_http1::{read_request_head, ByteLink},
    smol::{net::TcpListener, Async},
    std::{net::SocketAddr, rc::Rc},
};

/// Longest head of a question, in bytes.
const HEAD_LIMIT: usize = 8 << 10;
/// Time for which a connection may rest.
const REST_LIMIT: Micros = Micros::from_secs(30);

/// What a small server says to a path: status and text.
pub(crate) type SmallAnswer = fn(&FrontContext, &str) -> (u16, String);

/// Answers small questions, such as whether the process is ready.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn serve_small(
    front: Rc<FrontContext>,
    address: SocketAddr,
    answer: SmallAnswer,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let server = front.clone();
    front.spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let front = server.clone();
            server.spawn(async move {
                let stream: std::sync::Arc<Async<std::net::TcpStream>> = stream.into();
                if let Some(Ok(link)) = std::sync::Arc::into_inner(stream).map(ByteLink::new) {
                    answer_questions(&front, link, answer).await;
                }
            });
        }
    });
    Ok(())
}

async fn answer_questions(
    front: &FrontContext,
    mut link: ByteLink,
    answer: SmallAnswer,
) {
    loop {
        let head = match read_request_head(link.unused(), HEAD_LIMIT) {
            Ok(Some((head, length))) => {
                link.use_up(length);
                head
            }
            Ok(None) => match within(REST_LIMIT, link.read_more()).await {
                Some(Ok(count)) if count > 0 => continue,
                _ => return,
            },
            Err(_) => return,
        };
        let (status, text) = answer(front, &head.target);
        let reason = if status == 200 {
            "OK"
        } else {
            "Service Unavailable"
        };
        let length = text.len();
        let answer = format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: text/plain\r\n\
             content-length: {length}\r\n\r\n{text}"
        );
        if link.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
