use {
    super::BoxList,
    crate::http::{CallError, HttpCaller},
    std::{net::SocketAddr, time::Duration},
};

/// Client of the box list.
#[derive(Debug, Clone)]
pub struct BoxClient {
    caller: HttpCaller,
}

impl BoxClient {
    /// A client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        BoxClient {
            caller: HttpCaller::new(address, timeout),
        }
    }

    /// Reads the list once. It lags behind what really runs.
    ///
    /// # Errors
    /// [`CallError`] when no answer came in time.
    pub async fn list(&self) -> Result<BoxList, CallError> {
        self.caller.get_json("/boxes").await
    }
}
