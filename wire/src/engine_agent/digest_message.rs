use {
    super::EngineDigest,
    crate::codec::{encode_body, FrameError},
    pitchhitch_core::{serving::SendGrant, time::Micros},
    serde::{Deserialize, Serialize},
};

/// The last greeting of a front that was heard when a digest was sent to it: the digest cannot
/// have been sent before that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GreetingEcho {
    /// Number of the greeting.
    pub number: u64,
    /// Time since it had come.
    pub age: Micros,
    /// What the front may send while the engine starts slowly.
    pub grant: SendGrant,
}

/// A digest as one front is told it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestMessage {
    /// The digest, the same for all.
    pub digest: EngineDigest,
    /// The last greeting of this front.
    pub echo: Option<GreetingEcho>,
}

/// A digest that is written once for all fronts.
#[derive(Debug, Clone)]
pub struct EncodedDigest(Vec<u8>);

impl EncodedDigest {
    /// Writes a digest.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] where it cannot be written.
    pub fn new(digest: &EngineDigest) -> Result<Self, FrameError> {
        encode_body(digest).map(EncodedDigest)
    }

    /// The bytes of a [`ToldDigest`] with this digest: its fields follow each other.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] where it cannot be written.
    pub fn with_echo(
        &self,
        echo: Option<GreetingEcho>,
    ) -> Result<Vec<u8>, FrameError> {
        let mut body = self.0.clone();
        body.extend(encode_body(&echo)?);
        Ok(body)
    }
}
