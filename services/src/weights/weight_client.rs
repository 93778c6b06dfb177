use {
    crate::http::{CallError, ServiceClient},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the weight store. Engines fetch the weights themselves; this only
/// asks what is there.
#[derive(Debug, Clone)]
pub struct WeightClient {
    client: ServiceClient,
}

impl WeightClient {
    /// A client of the service at `address`.
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
    /// [`CallError`] when no answer came in time.
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
