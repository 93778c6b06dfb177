use {
    super::EngineDigest,
    crate::codec::{encode_body, FrameError},
    pitchhitch_core::{serving::SendGrant, time::Micros},
    serde::{Deserialize, Serialize},
};

/// Latest greeting received from a front when a digest was sent to it; the digest was therefore
/// sent after that greeting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GreetingEcho {
    /// Sequence number of the greeting.
    pub number: u64,
    /// Time since the greeting was received.
    pub age: Micros,
    /// Request rate granted to the front while the engine is in slow start.
    pub grant: SendGrant,
}

/// Digest as sent to one front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestMessage {
    /// The digest, which is the same for all fronts.
    pub digest: EngineDigest,
    /// Latest greeting received from this front.
    pub echo: Option<GreetingEcho>,
}

/// Digest that is encoded once for all fronts.
#[derive(Debug, Clone)]
pub struct EncodedDigest(Vec<u8>);

impl EncodedDigest {
    /// Encodes a digest.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] if it cannot be encoded.
    pub fn new(digest: &EngineDigest) -> Result<Self, FrameError> {
        encode_body(digest).map(EncodedDigest)
    }

    /// Encodes a [`DigestMessage`] with this digest. The codec writes the fields of a struct one
    /// after the other, so the encoded echo is appended.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] if it cannot be encoded.
    pub fn with_echo(
        &self,
        echo: Option<GreetingEcho>,
    ) -> Result<Vec<u8>, FrameError> {
        let mut body = self.0.clone();
        body.extend(encode_body(&echo)?);
        Ok(body)
    }
}
