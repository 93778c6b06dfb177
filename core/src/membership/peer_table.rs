use {super::EntryBeacon, crate::time::Micros, std::collections::BTreeMap};

/// Silence after which a peer does not count any more.
pub const PEER_TIMEOUT: Micros = Micros::from_secs(5);

/// One other entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// What it said last.
    pub beacon: EntryBeacon,
    /// When that was heard.
    pub received_at: Micros,
}

/// The other entry processes, as heard by beacon.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerState>,
}

impl PeerTable {
    /// Notes a beacon. One of an earlier life of the same peer is passed over.
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

    /// Drops peers that have been silent for too long.
    pub fn remove_expired(
        &mut self,
        now: Micros,
    ) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_TIMEOUT);
    }

    /// All peers that count.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Peers that count.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is heard.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The peer with the highest configuration revision.
    pub fn highest_revision(&self) -> Option<&PeerState> {
        self.peers.values().max_by_key(|p| p.beacon.revision)
    }
}
