use {
    crate::{
        beacon::BeaconKey,
        codec::{decode_body, encode_body},
    },
    pitchhitch_core::{
        rollout::RolloutRecord,
        serving::{
            stable_hash, EndpointNotice, KvStoreUptime, RouteSoftware, StoreEra, WeightPublication,
        },
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// HTTP path at which a process serves its state snapshot.
pub const STATE_PATH: &str = "/state";
/// Bytes of the keyed hash appended to a snapshot.
const HASH_BYTES: usize = 32;

/// State that a front has read from the platform store, for a process that cannot reach the store.
///
/// A snapshot has an age, to which its receiver adds the time since it sent the request. The
/// receiver ignores content older than its own, and relies on the store as soon as that responds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Configuration, as stored.
    pub config: Vec<u8>,
    /// Version of the configuration.
    pub version: u64,
    /// Time since the read request was sent that showed the configuration to be the newest.
    pub age: Micros,
    /// Era of the platform store at that read; unset by a front that has only read another
    /// snapshot.
    pub era: Option<StoreEra>,
    /// Published weight versions, including the newest of each model.
    pub weights: Vec<WeightPublication>,
    /// Endpoints, including those that are leaving.
    pub endpoints: Vec<EndpointNotice>,
    /// Evacuated failure domains, which get no new work.
    pub evacuated: Vec<String>,
    /// Roll-outs of endpoint software.
    pub rollouts: Vec<RolloutRecord>,
    /// Uptimes of the KV stores.
    #[serde(rename = "lives")]
    pub store_uptimes: Vec<KvStoreUptime>,
    /// Software on which the streams of each route may have begun; `None` if it is unknown.
    pub stream_software: Option<Vec<RouteSoftware>>,
    /// Time since the endpoint list was last shown to contain these endpoints; `None` if unknown.
    pub list_age: Option<Micros>,
}

/// Reason why received bytes are not accepted as a snapshot.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The keyed hash is missing or wrong.
    #[error("the keyed hash is missing or wrong; do all settings name the same peer_secret?")]
    InvalidHash,
    /// The bytes cannot be decoded, or the snapshot cannot be encoded.
    #[error("the state cannot be read: {0}; do all boxes run the same build?")]
    Malformed(String),
}

impl StateSnapshot {
    /// Adds `span`, an upper bound of the time since the ages were valid, to all ages. Uptimes of
    /// stores are lower bounds and don't change; [`Self::add_store_uptime`] adds to them.
    pub fn add_age(
        &mut self,
        span: Micros,
    ) {
        self.age = self.age + span;
        self.list_age = self.list_age.map(|age| age + span);
        for publication in &mut self.weights {
            publication.age = publication.age.map(|age| age + span);
        }
    }

    /// Adds `span`, a lower bound of the time since they were valid, to the uptimes of stores.
    pub fn add_store_uptime(
        &mut self,
        span: Micros,
    ) {
        for uptime in &mut self.store_uptimes {
            uptime.lasted = uptime.lasted + span;
        }
    }

    /// Whether `other` has a newer configuration, or newer weights of any model.
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

    /// Hash of the content without ages and uptimes of stores: fronts learn of a restarted store at
    /// different times, and each copy would be fetched again.
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
            &self.rollouts,
        );
        // Content that cannot be encoded has no hash of its own; such a snapshot cannot be served.
        let Ok(bytes) = encode_body(&content) else {
            return 0;
        };
        stable_hash(bytes)
    }

    /// Encodes the snapshot, followed by a keyed hash if a key is set.
    ///
    /// # Errors
    /// [`SnapshotError::Malformed`] if it cannot be encoded.
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

    /// Decodes a snapshot; if a key is set, its keyed hash must be valid.
    ///
    /// # Errors
    /// [`SnapshotError`] for anything else.
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
    // The comparison of two blake3 hashes takes constant time.
    match key.hash(body) == blake3::Hash::from(hash) {
        true => Ok(body),
        false => Err(SnapshotError::InvalidHash),
    }
}
