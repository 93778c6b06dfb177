use {
    crate::{conf::AgentSettings, control::ControlHandle},
    futures_lite::future,
    pitchhitch_core::membership::{rendezvous_select, Beacon, RendezvousCandidate},
    pitchhitch_services::boxes::{BoxClient, ListedRole},
    pitchhitch_wire::beacon::{BeaconKey, BeaconSocket},
    smol::Timer,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of entry processes that an agent sends its beacons to.
pub const MAX_TARGETS: usize = 8;
/// Timeout of a request for the box list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two requests for the box list while targets are known.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two requests for the box list while no target is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Factor on the beacon interval while all targets are subscribed: they receive the same
/// state and more over their links.
const SUBSCRIBED_INTERVAL_FACTOR: u32 = 20;
/// Delay before another attempt to bind the socket.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sends beacons periodically to the entry processes that rendezvous hashing selects for
/// the endpoint. Never returns.
pub async fn send_beacons(
    settings: Arc<AgentSettings>,
    handle: ControlHandle,
) {
    let secret = settings.beacon_secret.clone().unwrap_or_default();
    let key = BeaconKey::from_secret(&secret);
    let socket = loop {
        match BeaconSocket::bind(settings.beacons, key).await {
            Ok(socket) => break socket,
            Err(error) => {
                log::warn!(event = "beacons-not-bound", error = error.to_string().as_str(); "");
                Timer::after(BIND_RETRY_DELAY).await;
            }
        }
    };
    let boxes = BoxClient::new(settings.boxes, LIST_TIMEOUT);
    let mut targets = Vec::new();
    let mut listed_at: Option<Instant> = None;
    loop {
        let list_interval = if targets.is_empty() {
            DISCOVERY_INTERVAL
        } else {
            LIST_INTERVAL
        };
        if listed_at.is_none_or(|t| t.elapsed() >= list_interval) {
            listed_at = Some(Instant::now());
            if let Some(selected) = select_targets(&settings, &boxes).await {
                targets = selected;
            }
        }
        let beacon = Beacon::Agent(handle.view().beacon.clone());
        let was_refusing = handle.view().pulse.refusing;
        socket.send(beacon, &targets).await;
        let all_subscribed = handle.view().subscribers >= targets.len() && !targets.is_empty();
        let beacon_interval = match all_subscribed {
            true => settings.beacon_interval * SUBSCRIBED_INTERVAL_FACTOR,
            false => settings.beacon_interval,
        };
        wait_interval_or_refusal(beacon_interval, &handle, was_refusing).await;
    }
}

/// Waits for the interval, or until the agent starts or stops refusing work, which the next
/// beacon has to announce without that delay.
async fn wait_interval_or_refusal(
    interval: Duration,
    handle: &ControlHandle,
    was_refusing: bool,
) {
    let timer = async {
        Timer::after(interval).await;
    };
    let change = async {
        while handle.view().pulse.refusing == was_refusing {
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    future::or(timer, change).await;
}

async fn select_targets(
    settings: &AgentSettings,
    boxes: &BoxClient,
) -> Option<Vec<SocketAddr>> {
    let list = boxes.list().await.ok()?;
    let entries = list
        .boxes
        .into_iter()
        .filter(|b| b.role == ListedRole::Entry && !b.leaving);
    let candidates: Vec<RendezvousCandidate<SocketAddr>> = entries
        .map(|entry| RendezvousCandidate {
            id: entry.id,
            failure_domain: entry.failure_domain,
            value: entry.address,
        })
        .collect();
    let targets = rendezvous_select(
        &settings.endpoint_id,
        &settings.failure_domain,
        &candidates,
        MAX_TARGETS,
    );
    Some(targets.into_iter().map(|target| target.value).collect())
}
