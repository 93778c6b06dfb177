use {
    async_channel::{Receiver, Sender},
    futures_lite::{AsyncRead, Stream},
    std::{
        io,
        pin::Pin,
        sync::{Mutex, PoisonError},
        task::{Context, Poll},
    },
};

/// The reading end of a body that is produced in chunks.
///
/// When the HTTP connection closes, the body is dropped and the writer's next send fails.
#[derive(Debug)]
pub struct BodyPipe {
    inner: Mutex<PipeInner>,
}

#[derive(Debug)]
struct PipeInner {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    consumed: usize,
}

/// Creates a pipe that buffers `capacity` chunks.
pub fn body_pipe(capacity: usize) -> PipeEnds {
    let (sender, receiver) = async_channel::bounded(capacity);
    PipeEnds {
        writer: sender,
        body: BodyPipe {
            inner: Mutex::new(PipeInner {
                chunks: Box::pin(receiver),
                current: Vec::new(),
                consumed: 0,
            }),
        },
    }
}

/// Both ends of a pipe.
#[derive(Debug)]
pub struct PipeEnds {
    /// Accepts the chunks.
    pub writer: Sender<Vec<u8>>,
    /// Body that is handed to the HTTP library.
    pub body: BodyPipe,
}

impl AsyncRead for BodyPipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let inner = self.inner.get_mut().unwrap_or_else(PoisonError::into_inner);
        if inner.consumed == inner.current.len() {
            match std::task::ready!(inner.chunks.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(chunk) => {
                    inner.current = chunk;
                    inner.consumed = 0;
                }
            }
        }
        let remaining = &inner.current[inner.consumed..];
        let length = remaining.len().min(buffer.len());
        buffer[..length].copy_from_slice(&remaining[..length]);
        inner.consumed += length;
        Poll::Ready(Ok(length))
    }
}
