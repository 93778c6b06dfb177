use {
    super::ControlHandle,
    pitchhitch_core::{conf::PeerConfig, retry::BackoffPolicy, role::EntryEvent},
    pitchhitch_process::to_duration,
    pitchhitch_services::{
        config::ConfigStore,
        http::{CallError, ServiceClient},
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Path under which a process serves its configuration to its peers.
pub const PEER_CONFIG_PATH: &str = "/peer/config";
/// Factor on the poll interval of processes that receive changes from their peers.
const SLOW_POLL_FACTOR: u32 = 4;
/// Timeout for a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Query of [`PEER_CONFIG_PATH`]: the revision that the requesting process has.
pub const SINCE_QUERY: &str = "since=";

/// Polls the head row of the configuration until the control thread ends, with
/// exponential backoff while the table is unavailable.
pub async fn poll_config(
    store: ConfigStore,
    control: ControlHandle,
    interval: Duration,
    seed: u64,
) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut failures = 0;
    loop {
        let state = control.query(|core, _| (core.config().clone(), core.polls_table()));
        let Some((known, polls_often)) = state.await else {
            return;
        };
        match store.refresh(&known).await {
            Ok(current) => {
                failures = 0;
                control.send_event(EntryEvent::TableReached);
                control.send_event(EntryEvent::ChangesRead(current.recent));
                if current.config.revision > known.revision {
                    control.send_event(EntryEvent::ConfigRead(Arc::new(current.config)));
                }
            }
            Err(error) => {
                failures += 1;
                let error = error.to_string();
                log::warn!(event = "config-not-read", failures = failures, error = error.as_str(); "");
            }
        }
        let delay = match failures {
            0 if polls_often => interval,
            0 => interval * SLOW_POLL_FACTOR,
            _ => to_duration(BackoffPolicy::PLATFORM.delay(failures, &mut random)),
        };
        Timer::after(delay).await;
    }
}

/// Fetches the configuration changes after a revision from a peer, or the whole configuration if
/// the peer no longer has these changes.
///
/// # Errors
/// [`CallError`] when the peer sends no valid response in time.
pub async fn pull_config(
    peer: SocketAddr,
    since: u64,
) -> Result<PeerConfig, CallError> {
    let path = format!("{PEER_CONFIG_PATH}?{SINCE_QUERY}{since}");
    ServiceClient::new(peer, PEER_TIMEOUT).get_json(&path).await
}
