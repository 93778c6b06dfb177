use {
    crate::http::{CallError, ServiceClient},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the weight store. It only checks which versions exist; engines fetch the weights
/// themselves.
#[derive(Debug, Clone)]
pub struct WeightClient {
    client: ServiceClient,
}

impl WeightClient {
    /// Creates a client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        WeightClient {
            client: ServiceClient::new(address, timeout),
        }
    }

    /// Whether the store has a version of a model.
    ///
    /// # Errors
    /// [`CallError`] if no response was received in time.
    pub async fn has_version(
        &self,
        model: &str,
        version: &str,
    ) -> Result<bool, CallError> {
        let conn = self
            .client
            .request("GET", &format!("/weights/{model}/{version}/about"));
        match self.client.send(conn).await {
            Ok(_) => Ok(true),
            Err(CallError::Status { status: 404, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }
}
