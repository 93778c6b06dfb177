use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Context of the hash, so that it differs from all other hashes of the same bytes.
const HASH_CONTEXT: &str = "pitchhitch request fingerprint 1";

/// Identifies requests that ask for the same work by method, host, target, caller and body,
/// independent of request id, deadline and receiving box.
///
/// The caller is part of the hash, so a collision that is constructed on purpose affects only the
/// organisation that made it; a second preimage of a given 128-bit hash is infeasible. The hash has
/// no key, as all fronts must compute the same value.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

/// Fields of a request that its fingerprint covers.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Organisation of the caller; empty if it has none.
    pub caller: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(input: &FingerprintInput<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        let fields = [input.method, input.host, input.target, input.caller];
        for field in fields {
            // The length prefix keeps adjacent fields from being confused.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(input.body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        RequestFingerprint(first)
    }

    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = text.len() == 32 && text.is_ascii();
        let number = is_valid.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(RequestFingerprint(number.to_be_bytes()))
    }

    /// Low 64 bits of the fingerprint, to select an endpoint by.
    pub fn low_bits(self) -> u64 {
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
