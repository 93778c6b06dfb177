use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Domain of the hash, so that it equals no other hash of the same bytes.
const DOMAIN: &str = "pitchhitch request fingerprint 1";

/// What tells that two requests ask for the same work: method, host, target, caller and
/// body, whatever their ids, deadlines and the boxes that took them.
///
/// The caller is hashed with the rest, so a body that is made to collide hits its maker's
/// own organisation only; to meet a given one of 128 bits is out of reach. There is no
/// key, as all fronts must find the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

/// What a fingerprint is made of.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Organisation of the caller; empty where it has none.
    pub caller: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(input: &FingerprintInput<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
        let fields = [input.method, input.host, input.target, input.caller];
        for field in fields {
            // With its length, so that what ends one field cannot begin the next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(input.body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        RequestFingerprint(first)
    }

    /// Reads a fingerprint as [`fmt::Display`] writes it.
    pub fn parse(text: &str) -> Option<Self> {
        let is_sound = text.len() == 32 && text.is_ascii();
        let number = is_sound.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(RequestFingerprint(number.to_be_bytes()))
    }

    /// A number to spread by.
    pub fn number(self) -> u64 {
        u128::from_be_bytes(self.0) as u64
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(
        &self,
        out: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(out, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(
        &self,
        out: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(out, "RequestFingerprint({self})")
    }
}
