use std::fmt;

const KEY_CONTEXT: &str = "pitchhitch 2026-12 beacon key";

/// Key that all processes of a deployment share, for beacons only.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct BeaconKey {
    bytes: [u8; 32],
}

impl BeaconKey {
    /// Makes the key from the secret in the settings.
    pub fn from_secret(secret: &str) -> Self {
        BeaconKey {
            bytes: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Keyed hash over a message.
    pub fn hash(
        &self,
        message: &[u8],
    ) -> blake3::Hash {
        blake3::keyed_hash(&self.bytes, message)
    }
}

// Keys never reach a log.
impl fmt::Debug for BeaconKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str("BeaconKey(..)")
    }
}
