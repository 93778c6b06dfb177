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

/// The reading end of a body that is made piece by piece.
///
/// When the HTTP connection goes, the body is dropped and the writer's next
/// send fails.
#[derive(Debug)]
pub struct BodyPipe {
    inner: Mutex<PipeInner>,
}

#[derive(Debug)]
struct PipeInner {
    pieces: Pin<Box<Receiver<Vec<u8>>>>,
    ready: Vec<u8>,
    taken: usize,
}

/// A pipe for so many pieces under way.
pub fn body_pipe(room: usize) -> PipeEnds {
    let (sender, receiver) = async_channel::bounded(room);
    PipeEnds {
        writer: sender,
        body: BodyPipe {
            inner: Mutex::new(PipeInner {
                pieces: Box::pin(receiver),
                ready: Vec::new(),
                taken: 0,
            }),
        },
    }
}

/// Both ends of a pipe.
#[derive(Debug)]
pub struct PipeEnds {
    /// Takes the pieces.
    pub writer: Sender<Vec<u8>>,
    /// Goes to the HTTP library.
    pub body: BodyPipe,
}

impl AsyncRead for BodyPipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let inner = self.inner.get_mut().unwrap_or_else(PoisonError::into_inner);
        if inner.taken == inner.ready.len() {
            match std::task::ready!(inner.pieces.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(piece) => {
                    inner.ready = piece;
                    inner.taken = 0;
                }
            }
        }
        let rest = &inner.ready[inner.taken..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        inner.taken += length;
        Poll::Ready(Ok(length))
    }
}
