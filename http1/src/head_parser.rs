use {
    super::{HeadError, HeaderFields},
    std::ops::RangeInclusive,
};

/// Maximum number of headers in a head; the platform's clients send about a dozen.
const MAX_HEADERS: usize = 100;
/// Status codes that HTTP defines; any other three digits are not a status.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Whether the message is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// Headers.
    pub fields: HeaderFields,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the message is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// Headers.
    pub fields: HeaderFields,
}

/// Parses the head of a request; returns it with its length in bytes, or `None` while it is
/// incomplete.
///
/// # Errors
/// [`HeadError`] if the bytes cannot become a valid head within `limit` bytes.
pub fn parse_request_head(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(length) = head_length(request.parse(bytes), bytes, limit)? else {
        return Ok(None);
    };
    let (Some(method), Some(target)) = (request.method, request.path) else {
        return Err(HeadError::Malformed);
    };
    let head = RequestHead {
        method: method.to_string(),
        target: target.to_string(),
        is_http11: request.version == Some(1),
        fields: HeaderFields::from_parsed(&bytes[..length], request.headers),
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response; returns it with its length in bytes, or `None` while it is
/// incomplete.
///
/// # Errors
/// [`HeadError`] if the bytes cannot become a valid head within `limit` bytes.
pub fn parse_response_head(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(length) = head_length(response.parse(bytes), bytes, limit)? else {
        return Ok(None);
    };
    let status = response
        .code
        .filter(|status| VALID_STATUSES.contains(status));
    let head = ResponseHead {
        status: status.ok_or(HeadError::Malformed)?,
        is_http11: response.version == Some(1),
        fields: HeaderFields::from_parsed(&bytes[..length], response.headers),
    };
    Ok(Some((head, length)))
}

fn head_length(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    bytes: &[u8],
    limit: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length > limit => Err(HeadError::TooLong),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() > limit => Err(HeadError::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLong),
        Err(_) => Err(HeadError::Malformed),
    }
}
