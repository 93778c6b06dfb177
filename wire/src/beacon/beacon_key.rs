use std::fmt;

const KEY_CONTEXT: &str = "pitchhitch 2026-12 beacon key";

/// Shared key of a deployment, which authenticates beacons, and the datagrams and state snapshots
/// of fronts and engine agents.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct BeaconKey {
    bytes: [u8; 32],
}

impl BeaconKey {
    /// Derives the key from the `beacon_secret` or `peer_secret` of the settings.
    pub fn from_secret(secret: &str) -> Self {
        BeaconKey {
            bytes: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Returns the keyed hash of a message.
    pub fn hash(
        &self,
        message: &[u8],
    ) -> blake3::Hash {
        blake3::keyed_hash(&self.bytes, message)
    }
}

// Prints no key bytes, so that keys do not end up in logs.
impl fmt::Debug for BeaconKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str("BeaconKey(..)")
    }
}
