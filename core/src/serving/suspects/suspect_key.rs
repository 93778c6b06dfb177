use {
    super::request_fingerprint::RequestFingerprint,
    crate::serving::PartId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Context of the hash of a model's name.
const HASH_CONTEXT: &str = "pitchhitch suspect model 1";

/// A part that prompts for a model share. Its id stands for its text, whoever sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectPart {
    id: PartId,
    model: u64,
}

impl SuspectPart {
    /// The part with this id in prompts for a model.
    pub fn of(
        model: &str,
        id: PartId,
    ) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        hasher.update(model.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        SuspectPart {
            id,
            model: u64::from_le_bytes(first),
        }
    }
}

/// What may crash the endpoints that run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectKey {
    /// Every prompt with this part.
    Part(SuspectPart),
    /// One request, each time it is sent.
    Request(RequestFingerprint),
}

impl SuspectKey {
    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let Some((id, model)) = text.split_once('-') else {
            return RequestFingerprint::parse(text).map(SuspectKey::Request);
        };
        let is_valid = model.len() == 16 && !model.starts_with('+');
        let model = is_valid.then(|| u64::from_str_radix(model, 16).ok())??;
        let id = PartId::parse(id)?;
        Some(SuspectKey::Part(SuspectPart { id, model }))
    }

    /// Whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, SuspectKey::Part(_))
    }

    /// Hash by which all fronts select the same endpoint: for a part that of its home engine, which
    /// probably caches it.
    pub fn selection_hash(self) -> u64 {
        match self {
            SuspectKey::Part(part) => part.id.value(),
            SuspectKey::Request(fingerprint) => fingerprint.low_bits(),
        }
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(
        &self,
        out: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            SuspectKey::Part(part) => write!(out, "{}-{:016x}", part.id, part.model),
            SuspectKey::Request(fingerprint) => write!(out, "{fingerprint}"),
        }
    }
}
