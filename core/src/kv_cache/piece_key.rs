use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Name of one piece of kept prompt state.
///
/// It is a hash over the organisation, the weight version and the whole prompt
/// up to the end of the piece, so equal keys mean equal state, and two
/// organisations or versions never share one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceKey(pub u128);

/// A piece key that is not 32 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("'{text}' is no piece key; it must be 32 hexadecimal digits")]
pub struct PieceKeyError {
    /// The text in question.
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

// Text for people, sixteen bytes between processes.
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
