use {
    super::{SnapshotError, StateSnapshot, STATE_PATH},
    crate::beacon::BeaconKey,
    pitchhitch_http1::{HttpClient, HttpRequest},
    std::{net::SocketAddr, time::Duration},
};

/// Response to a request for a state snapshot.
#[derive(Debug)]
pub struct SnapshotResponse {
    /// The snapshot, if it is valid.
    pub snapshot: Result<StateSnapshot, SnapshotError>,
    /// Length of the response body, in bytes.
    pub bytes: usize,
}

/// Requests the state snapshot of a process; `None` if it has none or does not respond within
/// `timeout`.
pub async fn fetch_snapshot(
    address: SocketAddr,
    timeout: Duration,
    key: Option<&BeaconKey>,
) -> Option<SnapshotResponse> {
    let mut client = HttpClient::new(address, timeout);
    let request = HttpRequest {
        method: "GET",
        target: STATE_PATH,
        ..HttpRequest::default()
    };
    let body = client.ok_body(request).await?;
    Some(SnapshotResponse {
        snapshot: StateSnapshot::open(&body, key),
        bytes: body.len(),
    })
}
