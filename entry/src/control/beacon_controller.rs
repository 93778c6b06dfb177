use {
    super::ControlHandle,
    crate::traffic::EntryApp,
    async_channel::Receiver,
    pitchhitch_core::{
        membership::{Beacon, EntryBeacon},
        role::EntryEvent,
    },
    pitchhitch_wire::beacon::{BeaconSocket, ReceiveError},
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two beacons to peers.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the next receive after a socket error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Receives beacons for the lifetime of the process and sends them to the control thread.
pub async fn receive_beacons(
    socket: Arc<BeaconSocket>,
    app: Arc<EntryApp>,
) {
    loop {
        match socket.receive().await {
            Ok(beacon) => handle_beacon(&app, beacon),
            Err(ReceiveError::Io(error)) => {
                log::warn!(event = "beacon-socket", error = error.to_string().as_str(); "");
                Timer::after(SOCKET_RETRY_DELAY).await;
            }
            Err(refused) => {
                app.metrics.count("beacon.refused", 1);
                log::warn!(event = "beacon-refused", reason = refused.to_string().as_str(); "");
            }
        }
    }
}

fn handle_beacon(
    app: &EntryApp,
    beacon: Beacon,
) {
    app.metrics.count("beacon.taken", 1);
    match beacon {
        Beacon::Agent(beacon) => app.control.forward_agent_beacon(beacon),
        Beacon::Entry(beacon) => {
            if beacon.entry_id != app.settings.box_id {
                app.control
                    .send_event(EntryEvent::PeerBeaconReceived(beacon));
            }
        }
    }
}

/// Sends beacons to peers until the control thread ends.
pub async fn send_beacons(
    socket: Arc<BeaconSocket>,
    app: Arc<EntryApp>,
    control: ControlHandle,
    peers: Receiver<Vec<SocketAddr>>,
    peer_address: SocketAddr,
) {
    let mut targets = Vec::new();
    loop {
        while let Ok(update) = peers.try_recv() {
            targets = update;
        }
        let Some(revision) = control.query(|core, _| core.config().revision).await else {
            return;
        };
        let beacon = EntryBeacon {
            entry_id: app.settings.box_id.clone(),
            failure_domain: app.settings.failure_domain.clone(),
            address: app.settings.beacons,
            peer_address,
            incarnation: app.clock.incarnation(),
            revision,
            running: app.limits().running(),
        };
        let sent = socket.send(Beacon::Entry(beacon), &targets).await;
        app.metrics.count("beacon.bytes_sent", sent as u64);
        Timer::after(BEACON_INTERVAL).await;
    }
}
