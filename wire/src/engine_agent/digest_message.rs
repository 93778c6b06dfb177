use {
    super::{BundledDigest, DigestKey, EngineDigest, RelayedDigest},
    crate::codec::{encode_body, FrameError},
    pitchhitch_core::{serving::SendGrant, time::Micros},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
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

/// Variant of a [`FrontDatagram`](super::FrontDatagram) with one digest, as the codec writes it.
const DIGEST_VARIANT: u8 = 0;

/// Digest that is encoded once for all fronts.
#[derive(Debug, Clone)]
pub struct EncodedDigest {
    key: DigestKey,
    bytes: Vec<u8>,
}

impl EncodedDigest {
    /// Encodes a digest.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] if it cannot be encoded.
    pub fn new(digest: &EngineDigest) -> Result<Self, FrameError> {
        Ok(EncodedDigest {
            key: DigestKey {
                engine: digest.engine,
                incarnation: digest.incarnation,
                number: digest.number,
            },
            bytes: encode_body(digest)?,
        })
    }

    /// Encodes a datagram to a front with this digest. The codec writes variant and fields one
    /// after the other, so the encoded echo is appended.
    ///
    /// # Errors
    /// [`FrameError::Malformed`] if it cannot be encoded.
    pub fn with_echo(
        &self,
        echo: Option<GreetingEcho>,
    ) -> Result<Vec<u8>, FrameError> {
        let mut body = Vec::with_capacity(self.bytes.len() + 16);
        body.push(DIGEST_VARIANT);
        body.extend_from_slice(&self.bytes);
        body.extend(encode_body(&echo)?);
        Ok(body)
    }

    /// This digest among others in one datagram.
    pub fn to_bundled(
        &self,
        echo: Option<GreetingEcho>,
    ) -> BundledDigest {
        BundledDigest {
            key: self.key,
            digest: self.bytes.clone(),
            echo,
        }
    }

    /// This digest for agents that pass it on.
    pub fn to_relayed(
        &self,
        is_urgent: bool,
        echoes: Vec<(SocketAddr, GreetingEcho)>,
    ) -> RelayedDigest {
        RelayedDigest {
            key: self.key,
            is_urgent,
            digest: self.bytes.clone(),
            echoes,
        }
    }
}
