use {
    super::LinkError,
    crate::{codec::FrameReader, messages::LinkReply},
    bytes::Bytes,
    h2::{client::ResponseFuture, RecvStream},
    std::task::{Context, Poll},
};

#[derive(Debug)]
enum ReplyState {
    AwaitingResponse(Box<ResponseFuture>),
    Open(RecvStream),
    Ended,
}

/// Replies to one call, in order.
///
/// Dropping it before the end resets the stream, which cancels the call on the agent.
#[derive(Debug)]
pub struct ReplyStream {
    state: ReplyState,
    reader: FrameReader,
    unreleased_bytes: usize,
}

impl ReplyStream {
    pub(super) fn new(response: ResponseFuture) -> Self {
        ReplyStream {
            state: ReplyState::AwaitingResponse(Box::new(response)),
            reader: FrameReader::default(),
            unreleased_bytes: 0,
        }
    }

    /// Receives the next reply; none at the end of the stream.
    ///
    /// # Errors
    /// [`LinkError`] if the link failed or the stream is invalid.
    pub async fn next(&mut self) -> Result<Option<LinkReply>, LinkError> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next reply.
    ///
    /// Flow-control capacity is released to the agent only after the replies received so
    /// far have been taken.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<LinkReply>, LinkError>> {
        loop {
            match self.reader.next_frame() {
                Ok(Some(reply)) => return Poll::Ready(Ok(Some(reply))),
                Ok(None) => self.release_consumed(),
                Err(error) => {
                    self.state = ReplyState::Ended;
                    return Poll::Ready(Err(error.into()));
                }
            }
            match std::task::ready!(self.poll_bytes(cx)) {
                Ok(Some(bytes)) => {
                    self.unreleased_bytes += bytes.len();
                    self.reader.feed(&bytes);
                }
                Ok(None) => {
                    self.state = ReplyState::Ended;
                    self.reader.finish()?;
                    return Poll::Ready(Ok(None));
                }
                Err(error) => {
                    self.state = ReplyState::Ended;
                    return Poll::Ready(Err(error));
                }
            }
        }
    }

    fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, LinkError>> {
        loop {
            match &mut self.state {
                ReplyState::AwaitingResponse(response) => {
                    let pinned = std::pin::Pin::new(response.as_mut());
                    let response = std::task::ready!(std::future::Future::poll(pinned, cx));
                    let response = response.map_err(LinkError::broken)?;
                    self.state = ReplyState::Open(response.into_body());
                }
                ReplyState::Open(stream) => {
                    let data = std::task::ready!(stream.poll_data(cx));
                    return Poll::Ready(data.transpose().map_err(LinkError::broken));
                }
                ReplyState::Ended => return Poll::Ready(Ok(None)),
            }
        }
    }

    fn release_consumed(&mut self) {
        if self.unreleased_bytes == 0 {
            return;
        }
        if let ReplyState::Open(stream) = &mut self.state {
            // An error means that the stream has ended; the next read reports it.
            let _ = stream
                .flow_control()
                .release_capacity(self.unreleased_bytes);
        }
        self.unreleased_bytes = 0;
    }
}
