use super::{BodyFraming, HeadError};

/// Maximum length of a line of chunked framing whose end has not been received, in bytes.
const MAX_PARTIAL_LINE_BYTES: usize = 256;
/// Maximum total length of the trailer fields, in bytes.
const MAX_TRAILER_BYTES: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Remaining(u64),
    Chunked(ChunkState),
    UntilClose,
    Done,
}

/// Incremental decoder that strips the transfer framing from a message body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    line: Vec<u8>,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a single body.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Remaining(length),
            BodyFraming::Chunked => DecoderState::Chunked(ChunkState::Size),
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        BodyDecoder {
            state,
            line: Vec::new(),
            trailer_bytes: 0,
        }
    }

    /// Whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Records that the peer has closed the connection in order; false if that truncates the body.
    pub fn close(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Done;
        }
        self.is_done()
    }

    /// Decodes body bytes from `input`, appends them to `body` and returns the
    /// number of bytes of `input` consumed.
    ///
    /// # Errors
    /// [`HeadError::Malformed`] if the chunked framing is invalid.
    pub fn decode(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
    ) -> Result<usize, HeadError> {
        let mut used = 0;
        while used < input.len() && !self.is_done() {
            used += self.step(&input[used..], body)?;
        }
        Ok(used)
    }

    fn step(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
    ) -> Result<usize, HeadError> {
        match self.state {
            DecoderState::Done => Ok(0),
            DecoderState::UntilClose => {
                body.extend_from_slice(input);
                Ok(input.len())
            }
            DecoderState::Remaining(remaining) => {
                let copied = copy_data(remaining, input, body);
                self.state = match remaining - copied as u64 {
                    0 => DecoderState::Done,
                    remaining => DecoderState::Remaining(remaining),
                };
                Ok(copied)
            }
            DecoderState::Chunked(ChunkState::Data(remaining)) => {
                let copied = copy_data(remaining, input, body);
                self.state = DecoderState::Chunked(match remaining - copied as u64 {
                    0 => ChunkState::DataEnd,
                    remaining => ChunkState::Data(remaining),
                });
                Ok(copied)
            }
            DecoderState::Chunked(state) => self.decode_line(state, input),
        }
    }

    fn decode_line(
        &mut self,
        state: ChunkState,
        input: &[u8],
    ) -> Result<usize, HeadError> {
        let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
            self.line.extend_from_slice(input);
            let is_within_limit = self.line.len() <= MAX_PARTIAL_LINE_BYTES;
            return is_within_limit
                .then_some(input.len())
                .ok_or(HeadError::Malformed);
        };
        self.line.extend_from_slice(&input[..end]);
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").ok_or(HeadError::Malformed)?;
        self.state = self.next_state(state, line)?;
        Ok(end + 1)
    }

    fn next_state(
        &mut self,
        state: ChunkState,
        line: &[u8],
    ) -> Result<DecoderState, HeadError> {
        let next = match state {
            ChunkState::Size => match parse_size(line)? {
                0 => ChunkState::Trailer,
                size => ChunkState::Data(size),
            },
            ChunkState::DataEnd if line.is_empty() => ChunkState::Size,
            ChunkState::Trailer if line.is_empty() => return Ok(DecoderState::Done),
            ChunkState::Trailer => {
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(HeadError::Malformed);
                }
                ChunkState::Trailer
            }
            _ => return Err(HeadError::Malformed),
        };
        Ok(DecoderState::Chunked(next))
    }
}

fn copy_data(
    remaining: u64,
    input: &[u8],
    body: &mut Vec<u8>,
) -> usize {
    let copied = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(input.len());
    body.extend_from_slice(&input[..copied]);
    copied
}

fn parse_size(line: &[u8]) -> Result<u64, HeadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii_end();
    let is_valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_valid);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(HeadError::Malformed)
}

/// Appends one chunk to `out`; empty data writes nothing, as an empty chunk would end the body.
pub fn write_chunk(
    out: &mut Vec<u8>,
    data: &[u8],
) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Final chunk of a chunked body, without trailer fields.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
