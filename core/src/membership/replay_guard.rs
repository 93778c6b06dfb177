use std::collections::BTreeMap;

/// Maximum number of senders to track.
const MAX_SENDERS: usize = 65_536;

/// Rejects replayed beacons.
///
/// Each sender numbers its beacons in increasing order within one incarnation, and
/// each restart has a higher incarnation.
#[derive(Debug, Clone, Default)]
pub struct ReplayGuard {
    newest: BTreeMap<String, BeaconSequence>,
}

/// Sequence number of a beacon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BeaconSequence {
    /// Start time of the sender, in microseconds since 1970.
    pub incarnation: u64,
    /// Number of the beacon within that incarnation.
    pub counter: u64,
}

impl ReplayGuard {
    /// Records a beacon; returns true if it is newer than all earlier ones from this sender.
    ///
    /// Beacons of new senders are rejected once `MAX_SENDERS` senders are tracked.
    pub fn accept(
        &mut self,
        sender: &str,
        number: BeaconSequence,
    ) -> bool {
        if let Some(newest) = self.newest.get_mut(sender) {
            let is_newer = number > *newest;
            *newest = number.max(*newest);
            return is_newer;
        }
        if self.newest.len() >= MAX_SENDERS {
            return false;
        }
        self.newest.insert(sender.to_string(), number);
        true
    }
}
