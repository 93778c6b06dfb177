use {
    super::ControlHandle,
    async_channel::Sender,
    pitchhitch_core::{
        membership::{rendezvous_select, RendezvousCandidate},
        role::{EntryEvent, ListedBox},
    },
    pitchhitch_services::boxes::{BoxClient, BoxRecord, ListedRole},
    smol::Timer,
    std::{net::SocketAddr, time::Duration},
};

/// Time between two reads of the box list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Most peers that beacons are sent to.
const MAX_PEERS: usize = 16;

/// The box of this process and its failure domain, which determine its peers.
#[derive(Debug, Clone)]
pub struct BoxLocation {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
}

/// Polls the box list for the lifetime of the process. Sends the list to the control
/// thread and the beacon addresses of the chosen peers to `peers`.
pub async fn poll_boxes(
    boxes: BoxClient,
    location: BoxLocation,
    control: ControlHandle,
    peers: Sender<Vec<SocketAddr>>,
) {
    loop {
        match boxes.list().await {
            Ok(list) => {
                let _ = peers.try_send(choose_peers(&location, &list.boxes));
                let listed = list.boxes.into_iter().map(ListedBox::from);
                control.send_event(EntryEvent::BoxesListed(listed.collect()));
            }
            Err(error) => {
                log::debug!(event = "boxes-not-read", error = error.to_string().as_str(); "");
            }
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

fn choose_peers(
    location: &BoxLocation,
    boxes: &[BoxRecord],
) -> Vec<SocketAddr> {
    let entries = boxes
        .iter()
        .filter(|record| record.role == ListedRole::Entry && record.id != location.box_id);
    let candidates: Vec<RendezvousCandidate<SocketAddr>> = entries
        .map(|record| RendezvousCandidate {
            id: record.id.clone(),
            failure_domain: record.failure_domain.clone(),
            value: record.address,
        })
        .collect();
    let chosen = rendezvous_select(
        &location.box_id,
        &location.failure_domain,
        &candidates,
        MAX_PEERS,
    );
    chosen.into_iter().map(|peer| peer.value).collect()
}
