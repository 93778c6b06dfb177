use super::{HeadError, HeadFields};

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request.
    ///
    /// # Errors
    /// [`HeadError::UnclearLength`] where two readers could see two bodies.
    pub fn of_request(fields: &HeadFields) -> Result<Self, HeadError> {
        Ok(stated(fields)?.unwrap_or(BodyFraming::Empty))
    }

    /// Framing of an answer with this status.
    ///
    /// # Errors
    /// [`HeadError::UnclearLength`] where two readers could see two bodies.
    pub fn of_answer(
        status: u16,
        fields: &HeadFields,
    ) -> Result<Self, HeadError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(BodyFraming::Empty);
        }
        Ok(stated(fields)?.unwrap_or(BodyFraming::UntilClose))
    }
}

fn stated(fields: &HeadFields) -> Result<Option<BodyFraming>, HeadError> {
    let mut codings = fields.all("transfer-encoding");
    let coding = codings.next();
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if codings.next().is_some() || lengths.next().is_some() {
        return Err(HeadError::UnclearLength);
    }
    match (coding, length) {
        (None, None) => Ok(None),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (None, Some(length)) => parse_length(length).map(|n| Some(BodyFraming::Length(n))),
        _ => Err(HeadError::UnclearLength),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let value = value.trim_ascii();
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    text.and_then(|text| text.parse().ok())
        .ok_or(HeadError::UnclearLength)
}
