use super::{HeadError, HeaderFields};

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The message has no body.
    Empty,
    /// By `Content-Length`, in bytes.
    Length(u64),
    /// By chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing of a request body.
    ///
    /// # Errors
    /// [`HeadError::AmbiguousLength`] if two recipients could see different body ends.
    pub fn for_request(fields: &HeaderFields) -> Result<Self, HeadError> {
        Ok(declared_framing(fields)?.unwrap_or(BodyFraming::Empty))
    }

    /// Determines the framing of the body of a response with this status.
    ///
    /// # Errors
    /// [`HeadError::AmbiguousLength`] if two recipients could see different body ends.
    pub fn for_response(
        status: u16,
        fields: &HeaderFields,
    ) -> Result<Self, HeadError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(BodyFraming::Empty);
        }
        Ok(declared_framing(fields)?.unwrap_or(BodyFraming::UntilClose))
    }

    /// Name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Empty => "empty",
            BodyFraming::Length(_) => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::UntilClose => "until-close",
        }
    }
}

fn declared_framing(fields: &HeaderFields) -> Result<Option<BodyFraming>, HeadError> {
    let mut codings = fields.get_all("transfer-encoding");
    let coding = codings.next();
    let mut lengths = fields.get_all("content-length");
    let length = lengths.next();
    if codings.next().is_some() || lengths.next().is_some() {
        return Err(HeadError::AmbiguousLength);
    }
    match (coding, length) {
        (None, None) => Ok(None),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (None, Some(length)) => parse_length(length).map(|n| Some(BodyFraming::Length(n))),
        _ => Err(HeadError::AmbiguousLength),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let value = value.trim_ascii();
    let is_numeric = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_numeric);
    text.and_then(|text| text.parse().ok())
        .ok_or(HeadError::AmbiguousLength)
}
