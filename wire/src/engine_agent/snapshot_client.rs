use {
    super::{SnapshotError, StateSnapshot, STATE_PATH},
    crate::beacon::BeaconKey,
    pitchhitch_http1::{HttpRequest, HttpClient},
    std::{net::SocketAddr, time::Duration},
};

/// What a process told when it was asked for its state.
#[derive(Debug)]
pub struct SnapshotResponse {
    /// The state, where it is one of ours.
    pub snapshot: Result<StateSnapshot, SnapshotError>,
    /// Length of the answer.
    pub bytes: usize,
}

/// Asks a process for its state; `None` where it has none, or does not answer within
/// `timeout`.
pub async fn fetch_snapshot(
    address: SocketAddr,
    timeout: Duration,
    key: Option<&BeaconKey>,
) -> Option<SnapshotResponse> {
    let mut client = HttpClient::new(address, timeout);
    let call = HttpRequest {
        method: "GET",
        target: STATE_PATH,
        ..HttpRequest::default()
    };
    let body = client.ok_body(call).await?;
    Some(SnapshotResponse {
        snapshot: StateSnapshot::open(&body, key),
        bytes: body.len(),
    })
}
