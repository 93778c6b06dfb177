use {
    super::LinkError,
    crate::{codec::encode_frame, messages::LinkReply},
    bytes::Bytes,
    h2::{server::SendResponse, SendStream},
    std::future::poll_fn,
};

/// An agent's side of one call: sends the answers.
#[derive(Debug)]
pub struct ReplySender {
    stream: SendStream<Bytes>,
}

impl ReplySender {
    pub(super) fn open(mut response: SendResponse<Bytes>) -> Result<Self, LinkError> {
        let head = http::Response::new(());
        let stream = response
            .send_response(head, false)
            .map_err(LinkError::broken)?;
        Ok(ReplySender { stream })
    }

    /// Sends one answer, waiting until the entry process has capacity for it.
    ///
    /// # Errors
    /// [`LinkError`] when nobody wants it any more.
    pub async fn send(
        &mut self,
        reply: &LinkReply,
    ) -> Result<(), LinkError> {
        let mut frame = encode_frame(reply)?;
        while !frame.is_empty() {
            let capacity = self.reserve_capacity(frame.len()).await?;
            let part = frame.split_to(capacity.min(frame.len()));
            self.stream
                .send_data(part, false)
                .map_err(LinkError::broken)?;
        }
        Ok(())
    }

    /// Ends the stream.
    ///
    /// # Errors
    /// [`LinkError`] when nobody waits for it any more.
    pub fn end(mut self) -> Result<(), LinkError> {
        self.stream
            .send_data(Bytes::new(), true)
            .map_err(LinkError::broken)
    }

    /// Waits until the entry process gives the stream up or the link breaks.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }

    async fn reserve_capacity(
        &mut self,
        bytes: usize,
    ) -> Result<usize, LinkError> {
        self.stream.reserve_capacity(bytes);
        let capacity = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
        match capacity {
            Some(capacity) => capacity.map_err(LinkError::broken),
            None => Err(LinkError::Broken {
                reason: "the stream was given up".to_string(),
            }),
        }
    }
}
