use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Content key of one piece of KV state.
///
/// It hashes the organisation, the weight version and the prompt up to the end of the
/// piece. Equal keys therefore mean equal state, and keys of different organisations or
/// versions never match.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceKey(pub u128);

/// A text that is not a piece key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("'{text}' is not a piece key; a key has 32 hexadecimal digits")]
pub struct PieceKeyError {
    /// The rejected text.
    pub text: String,
}

impl FromStr for PieceKey {
    type Err = PieceKeyError;

    fn from_str(text: &str) -> Result<Self, PieceKeyError> {
        let error = || PieceKeyError {
            text: text.to_string(),
        };
        if text.len() != 32 {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(PieceKey)
            .map_err(|_| error())
    }
}

// Hexadecimal text in human-readable formats, sixteen bytes in binary ones.
impl Serialize for PieceKey {
    fn serialize<S: Serializer>(
        &self,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for PieceKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            u128::deserialize(deserializer).map(PieceKey)
        }
    }
}

impl fmt::Display for PieceKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for PieceKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(f, "{self}")
    }
}
