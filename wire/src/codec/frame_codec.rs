use {
    super::FrameError,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
};

/// Version of the messages; both ends must have the same.
pub const WIRE_VERSION: u8 = 3;
/// Bytes in front of each body: version and length.
pub const HEADER_BYTES: usize = 5;
/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

const BINCODE: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_BODY_BYTES>,
> = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();

/// Makes a message without version and length.
///
/// # Errors
/// [`FrameError::Malformed`] when the message is over the limit.
pub fn encode_body<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    bincode::serde::encode_to_vec(message, BINCODE).map_err(|e| FrameError::Malformed {
        reason: e.to_string(),
    })
}

/// Reads a message without version and length; all bytes must belong to it.
///
/// # Errors
/// [`FrameError::Malformed`] for anything else.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    let decoded = bincode::serde::decode_from_slice(body, BINCODE);
    let (message, consumed) = decoded.map_err(|e| FrameError::Malformed {
        reason: e.to_string(),
    })?;
    if consumed != body.len() {
        return Err(FrameError::Malformed {
            reason: format!("{} bytes too many", body.len() - consumed),
        });
    }
    Ok(message)
}

/// Makes a whole frame.
///
/// # Errors
/// [`FrameError`] when the message is over the limit.
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

/// Puts frames together from pieces of a stream.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Takes in the next bytes of the stream.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// [`FrameError`] when the stream is broken; it is of no more use then.
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

    /// Checks that the stream ended between two frames.
    ///
    /// # Errors
    /// [`FrameError::Truncated`] when it did not.
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
