use {
    super::BeaconKey,
    crate::codec::{decode_body, encode_body, FrameError, WIRE_VERSION},
    pitchhitch_core::membership::{Beacon, BeaconSequence},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Bytes of the keyed hash.
const HASH_BYTES: usize = 32;
/// Longest beacon, in bytes; it must fit one datagram.
pub const MAX_BEACON_BYTES: usize = 8 * 1024;

/// Why a datagram is no beacon of this deployment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BeaconError {
    /// It is too short or too long, or of another version.
    #[error("datagram of {length} bytes is no beacon of version {WIRE_VERSION}")]
    Malformed {
        /// Bytes in the datagram.
        length: usize,
    },
    /// It was not made with this deployment's key.
    #[error("the keyed hash of a beacon is wrong; do all settings name the same beacon_secret?")]
    Forged,
    /// It cannot be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// A beacon with its number, as sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NumberedBeacon {
    /// Counts up in each life of the sender.
    pub counter: u64,
    /// The beacon.
    pub beacon: Beacon,
}

impl NumberedBeacon {
    /// Who sent it.
    pub fn sender(&self) -> &str {
        match &self.beacon {
            Beacon::Agent(agent) => &agent.endpoint_id,
            Beacon::Entry(entry) => &entry.entry_id,
        }
    }

    /// Its place in the life of the sender.
    pub fn sequence(&self) -> BeaconSequence {
        let incarnation = match &self.beacon {
            Beacon::Agent(agent) => agent.incarnation,
            Beacon::Entry(entry) => entry.incarnation,
        };
        BeaconSequence {
            incarnation,
            counter: self.counter,
        }
    }

    /// Makes the datagram.
    ///
    /// # Errors
    /// [`BeaconError`] when it does not fit.
    pub fn seal(
        &self,
        key: &BeaconKey,
    ) -> Result<Vec<u8>, BeaconError> {
        let body = encode_body(self)?;
        let mut datagram = Vec::with_capacity(1 + HASH_BYTES + body.len());
        datagram.push(WIRE_VERSION);
        datagram.extend_from_slice(key.hash(&body).as_bytes());
        datagram.extend_from_slice(&body);
        if datagram.len() > MAX_BEACON_BYTES {
            return Err(BeaconError::Malformed {
                length: datagram.len(),
            });
        }
        Ok(datagram)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// [`BeaconError`] when it is not from this deployment.
    pub fn open(
        datagram: &[u8],
        key: &BeaconKey,
    ) -> Result<Self, BeaconError> {
        let malformed = BeaconError::Malformed {
            length: datagram.len(),
        };
        let Some((&WIRE_VERSION, rest)) = datagram.split_first() else {
            return Err(malformed);
        };
        if rest.len() < HASH_BYTES || datagram.len() > MAX_BEACON_BYTES {
            return Err(malformed);
        }
        let (hash_bytes, body) = rest.split_at(HASH_BYTES);
        let mut received_hash = [0; HASH_BYTES];
        received_hash.copy_from_slice(hash_bytes);
        // Comparing two blake3 hashes takes the same time wherever they differ.
        if key.hash(body) != blake3::Hash::from(received_hash) {
            return Err(BeaconError::Forged);
        }
        Ok(decode_body(body)?)
    }
}
