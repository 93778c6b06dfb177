use std::collections::BTreeMap;

/// Senders that are remembered at most.
const SENDER_LIMIT: usize = 65_536;

/// Refuses beacons that were seen before.
///
/// Each sender numbers its beacons upwards within one life; a later life has a
/// higher incarnation.
#[derive(Debug, Clone, Default)]
pub struct ReplayGuard {
    newest: BTreeMap<String, BeaconSequence>,
}

/// Place of a beacon in the life of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BeaconSequence {
    /// Start of the sender, in microseconds since 1970.
    pub incarnation: u64,
    /// Number of the beacon in that life.
    pub counter: u64,
}

impl ReplayGuard {
    /// Whether a beacon is newer than all before it from this sender.
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
        if self.newest.len() >= SENDER_LIMIT {
            return false;
        }
        self.newest.insert(sender.to_string(), number);
        true
    }
}
