use {
    super::LinkError,
    crate::{codec::encode_frame, messages::LinkReply},
    bytes::Bytes,
    h2::{server::SendResponse, SendStream},
    std::future::poll_fn,
};

/// Sends the replies to one call, on the agent.
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

    /// Sends one reply, after waiting for flow-control capacity on the stream.
    ///
    /// # Errors
    /// [`LinkError`] if the reply cannot be encoded, the stream was reset or the link failed.
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

    /// Ends the stream after the last reply.
    ///
    /// # Errors
    /// [`LinkError`] if the stream was reset or the link failed.
    pub fn end(mut self) -> Result<(), LinkError> {
        self.stream
            .send_data(Bytes::new(), true)
            .map_err(LinkError::broken)
    }

    /// Waits until the entry process resets the stream or the link fails.
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
                reason: "stream closed by the entry process".to_string(),
            }),
        }
    }
}
