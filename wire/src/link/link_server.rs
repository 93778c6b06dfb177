use {
    super::{
        LinkError, ReplySender, CALL_WINDOW_BYTES, CONNECTION_WINDOW_BYTES, MAX_CONCURRENT_STREAMS,
    },
    crate::{
        codec::{FrameError, FrameReader},
        messages::LinkCall,
    },
    async_compat::Compat,
    bytes::Bytes,
    h2::{server::SendResponse, RecvStream},
    smol::net::TcpStream,
};

/// One call received over a link.
#[derive(Debug)]
pub struct IncomingCall {
    body: RecvStream,
    response: SendResponse<Bytes>,
}

impl IncomingCall {
    /// Reads the complete call.
    ///
    /// # Errors
    /// [`LinkError`] if the message is invalid or the link failed; the call must not be
    /// executed then.
    pub async fn read(self) -> Result<(LinkCall, ReplySender), LinkError> {
        let mut body = self.body;
        let mut reader = FrameReader::default();
        let mut call = None;
        while let Some(bytes) = body.data().await {
            let bytes = bytes.map_err(LinkError::broken)?;
            let _ = body.flow_control().release_capacity(bytes.len());
            reader.feed(&bytes);
            if call.is_none() {
                call = reader.next_frame()?;
            }
        }
        reader.finish()?;
        let call = call.ok_or(FrameError::Truncated)?;
        Ok((call, ReplySender::open(self.response)?))
    }
}

/// Passes the calls of one connection to `on_call` until the connection is closed.
///
/// # Errors
/// [`LinkError`] if the connection failed.
pub async fn serve_link(
    stream: TcpStream,
    mut on_call: impl FnMut(IncomingCall),
) -> Result<(), LinkError> {
    stream.set_nodelay(true).map_err(LinkError::not_sent)?;
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(CALL_WINDOW_BYTES);
    builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    builder.max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    builder.max_concurrent_reset_streams(1_000);
    let handshake = builder.handshake(Compat::new(stream)).await;
    let mut connection = handshake.map_err(LinkError::broken)?;
    while let Some(accepted) = connection.accept().await {
        let (request, response) = accepted.map_err(LinkError::broken)?;
        on_call(IncomingCall {
            body: request.into_body(),
            response,
        });
    }
    Ok(())
}
