use {
    crate::http::{CallError, ServiceClient},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the object store.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    client: ServiceClient,
}

impl ObjectClient {
    /// Creates a client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        ObjectClient {
            client: ServiceClient::new(address, timeout),
        }
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// [`CallError`] if no response was received in time.
    pub async fn get(
        &self,
        name: &str,
    ) -> Result<Option<Vec<u8>>, CallError> {
        let conn = self.client.request("GET", &format!("/objects/{name}"));
        match self.client.send(conn).await {
            Ok(response) => Ok(Some(response.body)),
            Err(CallError::Status { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object, replacing an existing one.
    ///
    /// # Errors
    /// [`CallError`] if the write is not confirmed.
    pub async fn put(
        &self,
        name: &str,
        body: Vec<u8>,
    ) -> Result<(), CallError> {
        let conn = self.client.request("PUT", &format!("/objects/{name}"));
        self.client.send(conn.with_body(body)).await.map(|_| ())
    }
}
