use {
    super::{
        AdmitPermit, AnswerBody, Dispatch, Refusal, StartedTry, RAN_HEADER, REQUEST_ID_HEADER,
    },
    pitchhitch_core::{errors::ErrorKind, time::Micros},
    pitchhitch_wire::messages::{HeaderField, LinkReply},
    trillium::{Body, Conn, HeaderName, Status},
};

/// Answers up to this length are put together before the caller sees anything,
/// so that a break can still be answered by another try.
const WHOLE_LIMIT: usize = 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// An answer that may go to the caller.
pub struct ReadyAnswer {
    status: u16,
    headers: Vec<HeaderField>,
    body: Body,
}

/// Sixth filter: makes the answer of what the agent sends.
///
/// # Errors
/// [`Refusal`] when the answer broke off and no other try is allowed.
pub async fn answer(
    mut dispatch: Dispatch,
    mut started: StartedTry,
    began_at: Micros,
    permit: AdmitPermit,
) -> Result<ReadyAnswer, Refusal> {
    loop {
        let status = started.head.status;
        let headers = started.head.headers.clone();
        if is_event_stream(&headers) {
            let body = AnswerBody::new(started, dispatch, Vec::new(), true, began_at, permit);
            return Ok(ready(status, headers, Body::new_streaming(body, None)));
        }
        match collect(&mut started).await {
            Collected::Whole(bytes) => {
                let span = dispatch.app.clock.now().since(began_at);
                dispatch.app.metrics.time("first_token", span.0);
                dispatch.app.metrics.count("request.answered", 1);
                dispatch
                    .app
                    .ring
                    .record_outcome(&dispatch.work.request.id, "answered");
                return Ok(ready(status, headers, Body::new_static(bytes)));
            }
            Collected::Long(bytes) => {
                let body = AnswerBody::new(started, dispatch, bytes, false, began_at, permit);
                return Ok(ready(status, headers, Body::new_streaming(body, None)));
            }
            Collected::Broken(kind) => {
                drop(started);
                dispatch.broke_off(kind);
                if !dispatch.may_try_again(kind) {
                    return Err(Refusal::new(kind, "the answer broke off"));
                }
                dispatch.app.metrics.count("request.retried", 1);
                started = dispatch.start(None).await?;
            }
        }
    }
}

enum Collected {
    Whole(Vec<u8>),
    Long(Vec<u8>),
    Broken(ErrorKind),
}

async fn collect(started: &mut StartedTry) -> Collected {
    let mut bytes = Vec::new();
    loop {
        let reply = started.replies.next().await;
        let kind = match reply {
            Ok(Some(LinkReply::Chunk(chunk))) => {
                started.tracker.first_token();
                bytes.extend_from_slice(&chunk);
                if bytes.len() > WHOLE_LIMIT {
                    return Collected::Long(bytes);
                }
                continue;
            }
            Ok(Some(LinkReply::End { body_bytes, pulse })) => {
                if body_bytes == bytes.len() as u64 {
                    started.tracker.answered(pulse);
                    return Collected::Whole(bytes);
                }
                ErrorKind::BadAnswer
            }
            Ok(Some(LinkReply::Failed { kind, .. })) => kind,
            Ok(_) => ErrorKind::BadMessage,
            Err(error) => error.kind(),
        };
        started.tracker.failed(kind, None);
        return Collected::Broken(kind);
    }
}

fn ready(
    status: u16,
    headers: Vec<HeaderField>,
    body: Body,
) -> ReadyAnswer {
    ReadyAnswer {
        status,
        headers,
        body,
    }
}

fn is_event_stream(headers: &[HeaderField]) -> bool {
    let mut types = headers.iter().filter(|h| h.name == "content-type");
    types.any(|h| h.value.starts_with(EVENT_STREAM))
}

impl ReadyAnswer {
    /// Puts the answer on the connection.
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
    /// Puts the refusal on the connection.
    pub fn write(
        &self,
        mut conn: Conn,
        request_id: &str,
    ) -> Conn {
        let row = self.kind.response();
        let status = Status::try_from(row.status).unwrap_or(Status::InternalServerError);
        let headers = conn.response_headers_mut();
        headers.insert("content-type", "application/json");
        headers.insert(REQUEST_ID_HEADER, request_id.to_string());
        headers.insert(RAN_HEADER, self.run_state().as_str());
        if let Some(seconds) = self.retry_seconds() {
            headers.insert("retry-after", seconds.to_string());
        }
        conn.with_status(status).with_body(self.body()).halt()
    }
}
