use {pitchhitch_core::conf::FleetConfig, std::collections::HashMap, subtle::ConstantTimeEq};

/// Number of leading bytes of a key hash that select the bucket.
const BUCKET_BYTES: usize = 4;

#[derive(Debug)]
struct KeyEntry {
    hash: [u8; 32],
    organisation: String,
}

/// Index of organisations by the hash of a bearer key.
///
/// The bucket depends only on the hash, which reveals nothing about the key; within a bucket full
/// hashes are compared in constant time.
#[derive(Debug, Default)]
pub struct KeyIndex {
    buckets: HashMap<[u8; BUCKET_BYTES], Vec<KeyEntry>>,
}

impl KeyIndex {
    /// Builds the index from a configuration; invalid key hashes are logged and skipped.
    pub fn build(config: &FleetConfig) -> Self {
        let mut index = KeyIndex::default();
        for (name, conf) in &config.organisations {
            for text in &conf.key_hashes {
                match blake3::Hash::from_hex(text) {
                    Ok(hash) => index.add(*hash.as_bytes(), name),
                    Err(_) => log::warn!(
                        event = "bad-key-hash",
                        organisation = name.as_str();
                        "a key hash must be 64 hexadecimal digits; the key is not usable"
                    ),
                }
            }
        }
        index
    }

    fn add(
        &mut self,
        hash: [u8; 32],
        organisation: &str,
    ) {
        let entry = KeyEntry {
            hash,
            organisation: organisation.to_string(),
        };
        self.buckets.entry(bucket(&hash)).or_default().push(entry);
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(
        &self,
        key: &str,
    ) -> Option<&str> {
        let hash = blake3::hash(key.as_bytes());
        let bucket_entries = self.buckets.get(&bucket(hash.as_bytes()))?;
        let mut found = None;
        for entry in bucket_entries {
            if bool::from(entry.hash.ct_eq(hash.as_bytes())) {
                found = Some(entry.organisation.as_str());
            }
        }
        found
    }
}

fn bucket(hash: &[u8; 32]) -> [u8; BUCKET_BYTES] {
    [hash[0], hash[1], hash[2], hash[3]]
}
