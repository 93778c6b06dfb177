use {
    crate::{
        beacon::BeaconKey,
        codec::{decode_body, encode_body},
    },
    pitchhitch_core::{
        serving::{stable_hash, EndpointNotice, StoreEra, StoreUptime, WeightPublication},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Path at which a process hands its state on.
pub const STATE_PATH: &str = "/state";
/// Bytes of the keyed hash behind a state.
const HASH_BYTES: usize = 32;

/// What a front knows from the platform's store, for one that cannot reach it.
///
/// It is only ever a copy with an age: whoever takes it counts the age on, takes
/// nothing that is older than its own, and goes by the store once that answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Configuration, as the store holds it.
    pub config: Vec<u8>,
    /// Version of the configuration.
    pub version: u64,
    /// Time since the reading that showed it to be the newest was sent.
    pub age: Micros,
    /// Era of the platform's store in which that was; it is not told by a front that was only
    /// handed its knowledge.
    pub era: Option<StoreEra>,
    /// Named weights, the newest of each model among them.
    pub weights: Vec<WeightPublication>,
    /// Endpoints, those that leave included.
    pub endpoints: Vec<EndpointNotice>,
    /// Failure domains that get nothing new.
    pub evacuated: Vec<String>,
    /// Lives of the stores of kept parts.
    #[serde(rename = "lives")]
    pub store_uptimes: Vec<StoreUptime>,
}

/// Why bytes are no state of one of ours.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The keyed hash is missing or wrong.
    #[error("the keyed hash is missing or wrong; do all settings name the same peer_secret?")]
    InvalidHash,
    /// The bytes are no state.
    #[error("the state cannot be read: {0}; do all boxes run the same build?")]
    Malformed(String),
}

impl StateSnapshot {
    /// Makes it older: at most `span` has passed since its ages were right. The stores' lives
    /// stay, as least ages must not grow by more than has passed ([`Self::live_on`]).
    pub fn add_age(
        &mut self,
        span: Micros,
    ) {
        self.age = self.age + span;
        for publication in &mut self.weights {
            publication.age = publication.age.map(|age| age + span);
        }
    }

    /// Lets the stores' lives last on: at least `span` has passed since they were right.
    pub fn add_store_uptime(
        &mut self,
        span: Micros,
    ) {
        for uptime in &mut self.store_uptimes {
            uptime.lasted = uptime.lasted + span;
        }
    }

    /// Whether another state has a newer configuration, or newer weights of some model.
    pub fn is_older_than(
        &self,
        other: &StateSnapshot,
    ) -> bool {
        let newest_version = |state: &StateSnapshot, model: &str| {
            let publications = state
                .weights
                .iter()
                .filter(|publication| publication.model == model);
            publications.map(|publication| publication.version).max()
        };
        let mut models = other
            .weights
            .iter()
            .map(|publication| publication.model.as_str());
        self.version < other.version
            || models.any(|model| newest_version(self, model) < newest_version(other, model))
    }

    /// A number that differs where the content does; ages do not count, nor do lives of
    /// stores: fronts learn of a new one one by one, and each copy would be pulled anew.
    pub fn content_hash(&self) -> u64 {
        let weights = self
            .weights
            .iter()
            .map(|publication| (&publication.model, publication.version));
        let weights: Vec<_> = weights.collect();
        let content = (
            &self.version,
            &self.era,
            weights,
            &self.endpoints,
            &self.evacuated,
        );
        // What cannot be written has no number of its own, and is not asked for.
        let Ok(bytes) = encode_body(&content) else {
            return 0;
        };
        stable_hash(bytes)
    }

    /// The state as bytes, with a keyed hash where a key is set.
    ///
    /// # Errors
    /// [`StateError::Malformed`] where it is too long.
    pub fn seal(
        &self,
        key: Option<&BeaconKey>,
    ) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = encode_body(self).map_err(|e| SnapshotError::Malformed(e.to_string()))?;
        if let Some(key) = key {
            let hash = key.hash(&bytes);
            bytes.extend_from_slice(hash.as_bytes());
        }
        Ok(bytes)
    }

    /// Reads a state; where a key is set, only one that carries its hash.
    ///
    /// # Errors
    /// [`StateError`] for anything else.
    pub fn open(
        bytes: &[u8],
        key: Option<&BeaconKey>,
    ) -> Result<Self, SnapshotError> {
        let body = match key {
            None => bytes,
            Some(key) => verified_body(bytes, key)?,
        };
        decode_body(body).map_err(|e| SnapshotError::Malformed(e.to_string()))
    }
}

fn verified_body<'a>(
    bytes: &'a [u8],
    key: &BeaconKey,
) -> Result<&'a [u8], SnapshotError> {
    let length = bytes.len().checked_sub(HASH_BYTES);
    let (body, received_hash) = bytes.split_at(length.ok_or(SnapshotError::InvalidHash)?);
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(received_hash);
    // Comparing two blake3 hashes takes the same time wherever they differ.
    match key.hash(body) == blake3::Hash::from(hash) {
        true => Ok(body),
        false => Err(SnapshotError::InvalidHash),
    }
}
