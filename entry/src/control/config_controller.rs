use {
    super::ControlHandle,
    pitchhitch_core::{conf::FleetConfig, retry::BackoffPolicy, role::EntryEvent},
    pitchhitch_platform::{
        config::ConfigStore,
        http::{CallError, HttpCaller},
        process::to_duration,
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Path under which a process gives its configuration to its peers.
pub const PEER_CONFIG_PATH: &str = "/peer/config";
/// Time limit of asking a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Looks at the head row for good, with pauses, longer ones while the table is down.
pub async fn poll_config(
    store: ConfigStore,
    control: ControlHandle,
    interval: Duration,
    seed: u64,
) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut failures = 0;
    loop {
        let Some(known) = control.query(|core, _| core.config().clone()).await else {
            return;
        };
        match store.refresh(&known).await {
            Ok(config) => {
                failures = 0;
                control.tell(EntryEvent::TableReached);
                if config.revision > known.revision {
                    control.tell(EntryEvent::ConfigRead(Arc::new(config)));
                }
            }
            Err(error) => {
                failures += 1;
                let error = error.to_string();
                log::warn!(event = "config-not-read", failures = failures, error = error.as_str(); "");
            }
        }
        let pause = match failures {
            0 => interval,
            _ => to_duration(BackoffPolicy::PLATFORM.pause(failures, &mut random)),
        };
        Timer::after(pause).await;
    }
}

/// Fetches the configuration of a peer.
///
/// # Errors
/// [`CallError`] when it does not answer in time.
pub async fn pull_config(peer: SocketAddr) -> Result<FleetConfig, CallError> {
    HttpCaller::new(peer, PEER_TIMEOUT)
        .get_json(PEER_CONFIG_PATH)
        .await
}
