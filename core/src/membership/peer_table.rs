use {super::EntryBeacon, crate::time::Micros, std::collections::BTreeMap};

/// A peer is removed if no beacon from it arrives for this long.
pub const PEER_TIMEOUT: Micros = Micros::from_secs(5);

/// Another entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Its last beacon.
    pub beacon: EntryBeacon,
    /// When that beacon was received.
    pub received_at: Micros,
}

/// The other entry processes, as known from their beacons.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerState>,
}

impl PeerTable {
    /// Records a beacon. One from an earlier incarnation of the same peer is ignored.
    pub fn on_beacon(
        &mut self,
        beacon: EntryBeacon,
        now: Micros,
    ) {
        let known = self.peers.get(&beacon.entry_id);
        let outdated = known.is_some_and(|p| p.beacon.incarnation > beacon.incarnation);
        if outdated {
            return;
        }
        let state = PeerState {
            received_at: now,
            beacon,
        };
        self.peers.insert(state.beacon.entry_id.clone(), state);
    }

    /// Removes peers without a beacon for [`PEER_TIMEOUT`].
    pub fn remove_expired(
        &mut self,
        now: Micros,
    ) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_TIMEOUT);
    }

    /// Iterates over the live peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Number of live peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there are no live peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The peer with the highest configuration revision.
    pub fn highest_revision(&self) -> Option<&PeerState> {
        self.peers.values().max_by_key(|p| p.beacon.revision)
    }
}
