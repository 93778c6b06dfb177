use {
    super::{
        AdmissionPermit, Dispatch, Refusal, ResponseBody, StartedAttempt, RAN_HEADER,
        REQUEST_ID_HEADER,
    },
    pitchhitch_core::{errors::ErrorKind, time::Micros},
    pitchhitch_wire::messages::{HeaderField, LinkReply},
    trillium::{Body, Conn, HeaderName, Status},
};

/// Responses up to this length are buffered completely before anything is sent to the caller, so
/// that an interrupted response can still be retried.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// A response that is ready to be sent to the caller.
pub struct ReadyResponse {
    status: u16,
    headers: Vec<HeaderField>,
    body: Body,
}

/// Sixth filter: builds the response from the agent's replies.
///
/// # Errors
/// [`Refusal`] when the response was interrupted and no other attempt is allowed.
pub async fn build_response(
    mut dispatch: Dispatch,
    mut started: StartedAttempt,
    received_at: Micros,
    permit: AdmissionPermit,
) -> Result<ReadyResponse, Refusal> {
    loop {
        let status = started.head.status;
        let headers = started.head.headers.clone();
        if is_event_stream(&headers) {
            let body = ResponseBody::new(started, dispatch, Vec::new(), true, received_at, permit);
            return Ok(ready_response(
                status,
                headers,
                Body::new_streaming(body, None),
            ));
        }
        match collect_body(&mut started).await {
            CollectedBody::Complete(bytes) => {
                let elapsed = dispatch.app.clock.now().since(received_at);
                dispatch.app.metrics.time("first_token", elapsed.0);
                dispatch.app.metrics.count("request.answered", 1);
                dispatch
                    .app
                    .decisions
                    .record_outcome(&dispatch.parsed.request.id, "answered");
                return Ok(ready_response(status, headers, Body::new_static(bytes)));
            }
            CollectedBody::TooLong(bytes) => {
                let body = ResponseBody::new(started, dispatch, bytes, false, received_at, permit);
                return Ok(ready_response(
                    status,
                    headers,
                    Body::new_streaming(body, None),
                ));
            }
            CollectedBody::Interrupted(kind) => {
                drop(started);
                dispatch.record_interrupted(kind);
                if !dispatch.may_retry(kind) {
                    return Err(Refusal::new(kind, "the answer broke off"));
                }
                dispatch.app.metrics.count("request.retried", 1);
                started = dispatch.start(None).await?;
            }
        }
    }
}

enum CollectedBody {
    Complete(Vec<u8>),
    TooLong(Vec<u8>),
    Interrupted(ErrorKind),
}

async fn collect_body(started: &mut StartedAttempt) -> CollectedBody {
    let mut bytes = Vec::new();
    loop {
        let reply = started.replies.next().await;
        let kind = match reply {
            Ok(Some(LinkReply::Chunk(chunk))) => {
                started.tracker.record_first_token();
                bytes.extend_from_slice(&chunk);
                if bytes.len() > MAX_BUFFERED_BYTES {
                    return CollectedBody::TooLong(bytes);
                }
                continue;
            }
            Ok(Some(LinkReply::End { body_bytes, pulse })) => {
                if body_bytes == bytes.len() as u64 {
                    started.tracker.record_success(pulse);
                    return CollectedBody::Complete(bytes);
                }
                ErrorKind::BadAnswer
            }
            Ok(Some(LinkReply::Failed { kind, .. })) => kind,
            Ok(_) => ErrorKind::BadMessage,
            Err(error) => error.kind(),
        };
        started.tracker.record_failure(kind, None);
        return CollectedBody::Interrupted(kind);
    }
}

fn ready_response(
    status: u16,
    headers: Vec<HeaderField>,
    body: Body,
) -> ReadyResponse {
    ReadyResponse {
        status,
        headers,
        body,
    }
}

fn is_event_stream(headers: &[HeaderField]) -> bool {
    let mut types = headers.iter().filter(|h| h.name == "content-type");
    types.any(|h| h.value.starts_with(EVENT_STREAM))
}

impl ReadyResponse {
    /// Writes the response to the connection.
    pub fn write(
        self,
        mut conn: Conn,
        request_id: &str,
    ) -> Conn {
        let status = Status::try_from(self.status).unwrap_or(Status::BadGateway);
        for field in self.headers {
            conn.response_headers_mut()
                .append(HeaderName::from(field.name), field.value);
        }
        conn.response_headers_mut()
            .insert(REQUEST_ID_HEADER, request_id.to_string());
        conn.with_status(status).with_body(self.body).halt()
    }
}

impl Refusal {
    /// Writes the refusal to the connection as an error response.
    pub fn write(
        &self,
        mut conn: Conn,
        request_id: &str,
    ) -> Conn {
        let response = self.kind.response();
        let status = Status::try_from(response.status).unwrap_or(Status::InternalServerError);
        let headers = conn.response_headers_mut();
        headers.insert("content-type", "application/json");
        headers.insert(REQUEST_ID_HEADER, request_id.to_string());
        headers.insert(RAN_HEADER, self.run_state().as_str());
        if let Some(seconds) = self.retry_after_seconds() {
            headers.insert("retry-after", seconds.to_string());
        }
        conn.with_status(status).with_body(self.body()).halt()
    }
}
