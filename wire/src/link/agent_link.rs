use {
    super::{
        LinkError, ReplyStream, CALL_URI, CONNECTION_WINDOW_BYTES, MAX_CONCURRENT_STREAMS,
        REPLY_WINDOW_BYTES,
    },
    crate::{codec::encode_frame, messages::LinkCall},
    async_compat::Compat,
    bytes::Bytes,
    futures_lite::future,
    h2::client::SendRequest,
    smol::{net::TcpStream, Timer},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// Link to an agent, as seen by an entry process.
#[derive(Debug, Clone)]
pub struct AgentLink {
    sender: SendRequest<Bytes>,
}

impl AgentLink {
    /// Connects to an agent. Returns the link and the future that drives its connection,
    /// which must be polled and completes when the connection is closed.
    ///
    /// # Errors
    /// [`LinkError::NotSent`] if the agent cannot be reached within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(AgentLink, impl Future<Output = ()> + Send), LinkError> {
        let connected = future::or(Self::handshake(address), async {
            Timer::after(timeout).await;
            Err(LinkError::NotSent {
                reason: format!("no connection to {address} within {timeout:?}"),
            })
        });
        let (sender, connection) = connected.await?;
        let driver = async move {
            if let Err(error) = connection.await {
                log::debug!("event=link-ended peer={address} error=\"{error}\"");
            }
        };
        Ok((AgentLink { sender }, driver))
    }

    async fn handshake(
        address: SocketAddr
    ) -> Result<
        (
            SendRequest<Bytes>,
            h2::client::Connection<Compat<TcpStream>, Bytes>,
        ),
        LinkError,
    > {
        let stream = TcpStream::connect(address)
            .await
            .map_err(LinkError::not_sent)?;
        stream.set_nodelay(true).map_err(LinkError::not_sent)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(REPLY_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        builder.initial_max_send_streams(MAX_CONCURRENT_STREAMS as usize);
        builder.max_concurrent_reset_streams(1_000);
        builder.enable_push(false);
        builder
            .handshake(Compat::new(stream))
            .await
            .map_err(LinkError::not_sent)
    }

    /// Sends one call.
    ///
    /// # Errors
    /// [`LinkError`]; [`LinkError::NotSent`] only if no byte of the call can have left this
    /// process.
    pub async fn call(
        &self,
        call: &LinkCall,
    ) -> Result<ReplyStream, LinkError> {
        let frame = encode_frame(call).map_err(LinkError::not_sent)?;
        let sender = self.sender.clone().ready().await;
        let mut sender = sender.map_err(LinkError::not_sent)?;
        let request = http::Request::post(CALL_URI).body(());
        let request = request.map_err(LinkError::not_sent)?;
        let opened = sender.send_request(request, false);
        let (response, mut body) = opened.map_err(LinkError::not_sent)?;
        body.send_data(frame, true).map_err(LinkError::broken)?;
        Ok(ReplyStream::new(response))
    }
}
