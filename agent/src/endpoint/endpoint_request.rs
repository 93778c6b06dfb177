use {
    super::{
        EndpointClient, COMPUTED_HEADER, PIECES_HEADER, REFUSED_HEADER, RESUME_HEADER,
        VERSION_HEADER,
    },
    pitchhitch_core::errors::ErrorKind,
    pitchhitch_wire::messages::{is_hop_by_hop, HandOver, HeaderField},
    std::io,
    trillium_client::{Conn, Error as ClientError, HeaderName, KnownHeaderName, Method, Status},
};

/// Failure of a request before the endpoint started its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The request is known not to have run.
    NotRun(ErrorKind),
    /// The request may have run.
    Unknown(ErrorKind),
}

/// Builds the HTTP request of a hand-over; moves the body out of it.
pub fn build_request(
    client: &EndpointClient,
    hand_over: &mut HandOver,
) -> Conn {
    let mut conn = client.request(&hand_over.method, &hand_over.path, hand_over.repeatable);
    for field in &hand_over.headers {
        let name = HeaderName::from(field.name.clone());
        conn = conn.with_request_header(name.to_owned(), field.value.clone());
    }
    if client.is_engine() {
        if let Some(version) = &hand_over.version {
            conn = conn.with_request_header(VERSION_HEADER, version.clone());
        }
        if !hand_over.pieces.is_empty() {
            let keys: Vec<String> = hand_over.pieces.iter().map(|k| k.to_string()).collect();
            conn = conn.with_request_header(PIECES_HEADER, keys.join(","));
        }
        if let Some(last) = hand_over.resume_after {
            conn = conn.with_request_header(RESUME_HEADER, last.to_string());
        }
    }
    conn.with_body(std::mem::take(&mut hand_over.body))
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
/// [`CallFailure`], which distinguishes whether the request may have run.
pub async fn send_request(conn: Conn) -> Result<Conn, CallFailure> {
    match conn.await {
        Ok(conn) => match conn.response_headers().get_str(REFUSED_HEADER) {
            None if is_interim(&conn) || is_unframed(&conn) => {
                Err(CallFailure::Unknown(ErrorKind::BadAnswer))
            }
            None => Ok(conn),
            Some("version") => Err(CallFailure::NotRun(ErrorKind::WrongVersion)),
            Some(_) => Err(CallFailure::NotRun(ErrorKind::EndpointFull)),
        },
        Err(ClientError::Io(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(CallFailure::NotRun(ErrorKind::EndpointUnreachable))
        }
        Err(ClientError::Io(_) | ClientError::Closed) => {
            Err(CallFailure::Unknown(ErrorKind::EndpointLost))
        }
        Err(_) => Err(CallFailure::Unknown(ErrorKind::BadAnswer)),
    }
}

/// Whether the head is not the final one. The client skips interim heads with status 100 only.
fn is_interim(conn: &Conn) -> bool {
    conn.status().is_none_or(|status| status.is_informational())
}

/// Whether the body ends with the connection. The client would decode it as chunks.
fn is_unframed(conn: &Conn) -> bool {
    let headers = conn.response_headers();
    let has_body = !matches!(conn.status(), Some(Status::NoContent | Status::NotModified))
        && conn.method() != Method::Head;
    has_body
        && !headers.has_header(KnownHeaderName::ContentLength)
        && !headers.has_header(KnownHeaderName::TransferEncoding)
}

/// Returns the response headers to forward, without hop-by-hop headers, `content-length`
/// and `server`.
pub fn response_headers(conn: &Conn) -> Vec<HeaderField> {
    let mut fields = Vec::new();
    for (name, values) in conn.response_headers() {
        let name = name.to_string().to_ascii_lowercase();
        if is_hop_by_hop(&name) || name == "content-length" || name == "server" {
            continue;
        }
        for value in values.iter() {
            if let Some(value) = value.as_str() {
                fields.push(HeaderField {
                    name: name.clone(),
                    value: value.to_string(),
                });
            }
        }
    }
    fields
}

/// Returns the number of computed prompt tokens that the endpoint reports.
pub fn computed_tokens(conn: &Conn) -> Option<u32> {
    conn.response_headers()
        .get_str(COMPUTED_HEADER)?
        .parse()
        .ok()
}
