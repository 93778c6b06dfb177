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

/// Entry processes that one agent sends its beacons to.
pub const HOME_SIZE: usize = 8;
/// Time limit of reading the box list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two readings of the box list while homes are known.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two readings while none is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Factor on the interval while all homes are linked: the link tells them more.
const LINKED_FACTOR: u32 = 20;
/// Pause before the socket is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(500);

/// Sends beacons to the agent's home entry processes, for good.
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
                Timer::after(BIND_PAUSE).await;
            }
        }
    };
    let boxes = BoxClient::new(settings.boxes, LIST_TIMEOUT);
    let mut homes = Vec::new();
    let mut listed_at: Option<Instant> = None;
    loop {
        let interval = if homes.is_empty() {
            SEARCH_INTERVAL
        } else {
            LIST_INTERVAL
        };
        if listed_at.is_none_or(|t| t.elapsed() >= interval) {
            listed_at = Some(Instant::now());
            if let Some(found) = find_homes(&settings, &boxes).await {
                homes = found;
            }
        }
        let beacon = Beacon::Agent(handle.view().beacon.clone());
        let was_refusing = handle.view().pulse.refusing;
        socket.send(beacon, &homes).await;
        let linked = handle.view().subscribers >= homes.len() && !homes.is_empty();
        let interval = match linked {
            true => settings.beacon_interval * LINKED_FACTOR,
            false => settings.beacon_interval,
        };
        wait_or_refusing(interval, &handle, was_refusing).await;
    }
}

/// Waits for the next beacon, but not once the agent begins to refuse work.
async fn wait_or_refusing(
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

async fn find_homes(
    settings: &AgentSettings,
    boxes: &BoxClient,
) -> Option<Vec<SocketAddr>> {
    let list = boxes.list().await.ok()?;
    let entries = list
        .boxes
        .into_iter()
        .filter(|b| b.role == ListedRole::Entry && !b.leaving);
    let candidates: Vec<RendezvousCandidate<SocketAddr>> = entries
        .map(|row| RendezvousCandidate {
            id: row.id,
            failure_domain: row.failure_domain,
            value: row.address,
        })
        .collect();
    let homes = rendezvous_select(
        &settings.endpoint_id,
        &settings.failure_domain,
        &candidates,
        HOME_SIZE,
    );
    Some(homes.into_iter().map(|home| home.value).collect())
}
