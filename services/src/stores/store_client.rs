use {
    super::{PieceList, StoreError},
    crate::http::{CallError, ServiceClient},
    pitchhitch_core::kv_cache::{PieceKey, StoreTier},
    std::{net::SocketAddr, time::Duration},
};

/// Header with the generation of a piece.
pub const GENERATION_HEADER: &str = "x-piece-generation";
/// Header with the BLAKE3 checksum of a piece, in hexadecimal.
pub const CHECKSUM_HEADER: &str = "x-piece-checksum";

/// Client of one store box.
#[derive(Debug, Clone)]
pub struct StoreClient {
    client: ServiceClient,
}

/// A complete piece whose checksum has been verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedPiece {
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation of the piece.
    pub generation: u64,
    /// Complete content of the piece.
    pub bytes: Vec<u8>,
}

fn tier_name(tier: StoreTier) -> &'static str {
    match tier {
        StoreTier::Memory => "memory",
        StoreTier::Disk => "disk",
    }
}

impl StoreClient {
    /// Creates a client of the store box at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        StoreClient {
            client: ServiceClient::new(address, timeout),
        }
    }

    /// Writes and seals a piece; returns its generation. The store box does not offer the
    /// piece until all bytes have arrived and match the checksum.
    ///
    /// # Errors
    /// [`StoreError`] if the piece is not confirmed as sealed.
    pub async fn put(
        &self,
        key: PieceKey,
        tier: StoreTier,
        bytes: Vec<u8>,
        checksum: String,
    ) -> Result<u64, StoreError> {
        let path = format!("/pieces/{key}?tier={}", tier_name(tier));
        let conn = self.client.request("PUT", &path);
        let conn = conn
            .with_request_header(CHECKSUM_HEADER, checksum)
            .with_body(bytes);
        match self.client.send(conn).await {
            Ok(response) => parse_generation(response.header(GENERATION_HEADER)),
            Err(CallError::Status { status: 507, .. }) => Err(StoreError::Full),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads one generation of a piece and verifies its checksum.
    ///
    /// `checksum_of` returns the checksum of the bytes in hexadecimal.
    ///
    /// # Errors
    /// [`StoreError`] unless all bytes of exactly that generation were received.
    pub async fn get(
        &self,
        key: PieceKey,
        generation: u64,
        checksum_of: impl Fn(&[u8]) -> String,
    ) -> Result<SealedPiece, StoreError> {
        let path = format!("/pieces/{key}?generation={generation}");
        let response = match self.client.send(self.client.request("GET", &path)).await {
            Ok(response) => response,
            Err(CallError::Status {
                status: 404 | 409, ..
            }) => return Err(StoreError::Missing),
            Err(error) => return Err(error.into()),
        };
        let found = parse_generation(response.header(GENERATION_HEADER))?;
        if found != generation {
            return Err(StoreError::Missing);
        }
        let expected = response.header(CHECKSUM_HEADER).unwrap_or_default();
        if checksum_of(&response.body) != expected {
            return Err(StoreError::Damaged {
                reason: "checksum mismatch".to_string(),
            });
        }
        Ok(SealedPiece {
            key,
            generation,
            bytes: response.body,
        })
    }

    /// Deletes a piece if it still has this generation; a missing piece is not an error.
    ///
    /// # Errors
    /// [`StoreError`] if no response was received in time.
    pub async fn delete_piece(
        &self,
        key: PieceKey,
        generation: u64,
    ) -> Result<(), StoreError> {
        let path = format!("/pieces/{key}?generation={generation}");
        match self.client.send(self.client.request("DELETE", &path)).await {
            Ok(_) | Err(CallError::Status { status: 404, .. }) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Lists all sealed pieces.
    ///
    /// # Errors
    /// [`StoreError`] if no response was received in time.
    pub async fn list(&self) -> Result<PieceList, StoreError> {
        Ok(self.client.get_json("/pieces").await?)
    }
}

fn parse_generation(text: Option<&str>) -> Result<u64, StoreError> {
    let number = text.and_then(|t| t.parse().ok());
    number.ok_or_else(|| StoreError::Damaged {
        reason: "the response has no valid generation".to_string(),
    })
}
