use {
    super::{HandedState, StateError, STATE_PATH},
    crate::beacon::BeaconKey,
    pitchhitch_http1::{HttpClient, HttpRequest},
    std::{net::SocketAddr, time::Duration},
};

/// What a process told when it was asked for its state.
#[derive(Debug)]
pub struct StateAnswer {
    /// The state, where it is one of ours.
    pub state: Result<HandedState, StateError>,
    /// Length of the answer.
    pub bytes: usize,
}

/// Asks a process for its state; `None` where it has none, or does not answer within
/// `limit`.
pub async fn ask_state(
    address: SocketAddr,
    limit: Duration,
    key: Option<&BeaconKey>,
) -> Option<StateAnswer> {
    let mut client = HttpClient::new(address, limit);
    let call = HttpRequest {
        method: "GET",
        target: STATE_PATH,
        ..HttpRequest::default()
    };
    let body = client.ok_body(call).await?;
    Some(StateAnswer {
        state: HandedState::open(&body, key),
        bytes: body.len(),
    })
}
