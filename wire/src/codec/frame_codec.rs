use {
    super::FrameError,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
};

/// Version of the message format; sender and receiver must use the same.
pub const WIRE_VERSION: u8 = 3;
/// Length of the frame header, in bytes: one for the version, four for the body length.
pub const HEADER_BYTES: usize = 5;
/// Maximum length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

const BINCODE: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_BODY_BYTES>,
> = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();

/// Encodes a message without a frame header.
///
/// # Errors
/// [`FrameError::Malformed`] if the message cannot be encoded.
pub fn encode_body<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    bincode::serde::encode_to_vec(message, BINCODE).map_err(|e| FrameError::Malformed {
        reason: e.to_string(),
    })
}

/// Decodes a message without a frame header.
///
/// # Errors
/// [`FrameError::Malformed`] if the bytes are not exactly one message.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    let decoded = bincode::serde::decode_from_slice(body, BINCODE);
    let (message, consumed) = decoded.map_err(|e| FrameError::Malformed {
        reason: e.to_string(),
    })?;
    if consumed != body.len() {
        return Err(FrameError::Malformed {
            reason: format!("{} trailing bytes", body.len() - consumed),
        });
    }
    Ok(message)
}

/// Encodes a message as a frame.
///
/// # Errors
/// [`FrameError`] if the message exceeds the limit.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let body = encode_body(message)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(FrameError::TooLong {
            found: body.len(),
            limit: MAX_BODY_BYTES,
        });
    }
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
    frame.put_u8(WIRE_VERSION);
    frame.put_u32_le(body.len() as u32);
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Incremental decoder that splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Appends the next bytes of the stream.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message; none if its frame is still incomplete.
    ///
    /// # Errors
    /// [`FrameError`] if the stream is invalid; it cannot be read any further then.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(length) = self.body_length()? else {
            return Ok(None);
        };
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length);
        decode_body(&body).map(Some)
    }

    /// Checks, at the end of the stream, that no incomplete frame is left.
    ///
    /// # Errors
    /// [`FrameError::Truncated`] if there is one.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() {
            Ok(())
        } else {
            Err(FrameError::Truncated)
        }
    }

    fn body_length(&self) -> Result<Option<usize>, FrameError> {
        let Some(&version) = self.buffer.first() else {
            return Ok(None);
        };
        if version != WIRE_VERSION {
            return Err(FrameError::Version {
                found: version,
                wanted: WIRE_VERSION,
            });
        }
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut field = &self.buffer[1..HEADER_BYTES];
        let length = field.get_u32_le() as usize;
        if length > MAX_BODY_BYTES {
            return Err(FrameError::TooLong {
                found: length,
                limit: MAX_BODY_BYTES,
            });
        }
        Ok(Some(length))
    }
}
