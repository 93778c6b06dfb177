use {
    super::BoxList,
    crate::http::{CallError, ServiceClient},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the box list.
#[derive(Debug, Clone)]
pub struct BoxClient {
    client: ServiceClient,
}

impl BoxClient {
    /// Creates a client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        BoxClient {
            client: ServiceClient::new(address, timeout),
        }
    }

    /// Reads the list once. It lags behind the actual state of the fleet.
    ///
    /// # Errors
    /// [`CallError`] if no response was received in time.
    pub async fn list(&self) -> Result<BoxList, CallError> {
        self.client.get_json("/boxes").await
    }
}
