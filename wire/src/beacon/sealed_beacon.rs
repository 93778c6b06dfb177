use {
    super::BeaconKey,
    crate::codec::{decode_body, encode_body, FrameError, WIRE_VERSION},
    pitchhitch_core::membership::{Beacon, BeaconSequence},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Length of the keyed hash, in bytes.
const HASH_BYTES: usize = 32;
/// Maximum length of a sealed beacon, in bytes; it must fit into one datagram.
pub const MAX_BEACON_BYTES: usize = 8 * 1024;

/// Why a datagram is not a beacon of this deployment, or a beacon cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BeaconError {
    /// It is too short or too long, or has another protocol version.
    #[error("datagram of {length} bytes is not a beacon of protocol version {WIRE_VERSION}")]
    Malformed {
        /// Length of the datagram, in bytes.
        length: usize,
    },
    /// Its keyed hash was not computed with this deployment's key.
    #[error(
        "keyed hash of the beacon is invalid; check that all processes use the same beacon_secret"
    )]
    Forged,
    /// The body cannot be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// A beacon with its sequence number, as it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NumberedBeacon {
    /// Number of the beacon within the sender's incarnation; it increases with each beacon.
    pub counter: u64,
    /// The beacon.
    pub beacon: Beacon,
}

impl NumberedBeacon {
    /// Returns the endpoint id or entry id of the sender.
    pub fn sender(&self) -> &str {
        match &self.beacon {
            Beacon::Agent(agent) => &agent.endpoint_id,
            Beacon::Entry(entry) => &entry.entry_id,
        }
    }

    /// Returns the sequence number, which consists of the sender's incarnation and the counter.
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

    /// Encodes and authenticates the beacon.
    ///
    /// # Errors
    /// [`BeaconError`] if it does not fit into a datagram.
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

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// [`BeaconError`] if it is not a beacon of this deployment.
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
        // blake3::Hash compares in constant time.
        if key.hash(body) != blake3::Hash::from(received_hash) {
            return Err(BeaconError::Forged);
        }
        Ok(decode_body(body)?)
    }
}
