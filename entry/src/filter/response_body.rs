use {
    super::{AdmissionPermit, Dispatch, Refusal, StartedAttempt},
    crate::openai::SseSplitter,
    futures_lite::AsyncRead,
    pitchhitch_core::{errors::ErrorKind, time::Micros},
    pitchhitch_wire::messages::LinkReply,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::{Mutex, PoisonError},
        task::{Context, Poll},
    },
};

/// Length of the comment that pads the start of an event stream. The HTTP library buffers the first
/// bytes of a body until its buffer is full, which would delay the first token.
const PADDING_COMMENT_BYTES: usize = 512;

type ResumeFuture = Pin<Box<dyn Future<Output = ResumeOutcome> + Send>>;

struct ResumeOutcome {
    dispatch: Dispatch,
    started: Result<StartedAttempt, Refusal>,
}

enum BodyState {
    Streaming {
        started: Box<StartedAttempt>,
        dispatch: Box<Dispatch>,
    },
    Resuming(ResumeFuture),
    Finished,
    Aborted,
}

struct BodyInner {
    state: BodyState,
    pending: Vec<u8>,
    consumed: usize,
    splitter: Option<SseSplitter>,
    attempt_bytes: u64,
    received_at: Micros,
    awaits_first_event: bool,
    _permit: AdmissionPermit,
}

/// The body of a response, streamed from the agent.
///
/// An interrupted event stream is resumed at another endpoint after the last
/// complete event. A body that cannot be completed ends in an error, so that the
/// connection is closed without the terminating chunk.
pub struct ResponseBody {
    // Never contended: the lock only makes the body `Sync`, which trillium requires.
    inner: Mutex<BodyInner>,
}

impl ResponseBody {
    /// A body that starts with `collected`, the bytes received so far, or with the padding comment
    /// if it is an event stream.
    pub fn new(
        started: StartedAttempt,
        dispatch: Dispatch,
        collected: Vec<u8>,
        is_events: bool,
        received_at: Micros,
        permit: AdmissionPermit,
    ) -> Self {
        let attempt_bytes = collected.len() as u64;
        let initial_bytes = if is_events {
            padding_comment()
        } else {
            collected
        };
        ResponseBody {
            inner: Mutex::new(BodyInner {
                state: BodyState::Streaming {
                    started: Box::new(started),
                    dispatch: Box::new(dispatch),
                },
                pending: initial_bytes,
                consumed: 0,
                splitter: is_events.then(SseSplitter::default),
                attempt_bytes,
                received_at,
                awaits_first_event: true,
                _permit: permit,
            }),
        }
    }
}

fn padding_comment() -> Vec<u8> {
    let mut comment = vec![b' '; PADDING_COMMENT_BYTES];
    comment[0] = b':';
    comment[PADDING_COMMENT_BYTES - 2] = b'\n';
    comment[PADDING_COMMENT_BYTES - 1] = b'\n';
    comment
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let inner = self.inner.get_mut().unwrap_or_else(PoisonError::into_inner);
        inner.poll_read(cx, buffer)
    }
}

impl BodyInner {
    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            // The padding comment is sent together with the first event.
            let is_held = self.awaits_first_event && self.splitter.is_some();
            if self.consumed < self.pending.len() && !is_held {
                return Poll::Ready(Ok(self.copy_pending(buffer)));
            }
            match &mut self.state {
                BodyState::Finished => return Poll::Ready(Ok(0)),
                BodyState::Aborted => {
                    let error = io::Error::other("the response could not be completed");
                    return Poll::Ready(Err(error));
                }
                BodyState::Streaming { started, .. } => {
                    let reply = std::task::ready!(started.replies.poll_next(cx));
                    self.on_reply(reply.map_err(|e| e.kind()));
                }
                BodyState::Resuming(resume) => {
                    let outcome = std::task::ready!(resume.as_mut().poll(cx));
                    self.on_resumed(outcome);
                }
            }
        }
    }

    fn copy_pending(
        &mut self,
        buffer: &mut [u8],
    ) -> usize {
        let rest = &self.pending[self.consumed..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.consumed += length;
        if self.consumed == self.pending.len() {
            self.pending.clear();
            self.consumed = 0;
        }
        length
    }

    fn on_reply(
        &mut self,
        reply: Result<Option<LinkReply>, ErrorKind>,
    ) {
        match reply {
            Ok(Some(LinkReply::Chunk(bytes))) => self.on_chunk(&bytes),
            Ok(Some(LinkReply::End { body_bytes, pulse })) => {
                let is_complete = body_bytes == self.attempt_bytes;
                let is_closed = self.splitter.as_ref().is_none_or(SseSplitter::is_done);
                if is_complete && is_closed {
                    self.finish(pulse);
                } else {
                    self.on_interrupted(ErrorKind::BadAnswer);
                }
            }
            Ok(Some(LinkReply::Failed { kind, pulse })) => {
                if let BodyState::Streaming { started, .. } = &self.state {
                    started.tracker.record_failure(kind, Some(pulse));
                }
                self.on_interrupted(kind);
            }
            Ok(_) => self.on_interrupted(ErrorKind::BadMessage),
            Err(kind) => {
                if let BodyState::Streaming { started, .. } = &self.state {
                    started.tracker.record_failure(kind, None);
                }
                self.on_interrupted(kind);
            }
        }
    }

    fn on_chunk(
        &mut self,
        bytes: &[u8],
    ) {
        self.attempt_bytes += bytes.len() as u64;
        let BodyState::Streaming { started, dispatch } = &mut self.state else {
            return;
        };
        started.tracker.record_first_token();
        let events = match &mut self.splitter {
            None => Ok(bytes.to_vec()),
            Some(splitter) => splitter.feed(bytes),
        };
        match events {
            Ok(events) => {
                if self.awaits_first_event && !events.is_empty() {
                    self.awaits_first_event = false;
                    measure_first_token(dispatch, self.received_at);
                }
                self.pending.extend_from_slice(&events);
            }
            Err(_) => self.on_interrupted(ErrorKind::BadAnswer),
        }
    }

    fn finish(
        &mut self,
        pulse: pitchhitch_core::role::AgentPulse,
    ) {
        let state = std::mem::replace(&mut self.state, BodyState::Finished);
        self.awaits_first_event = false;
        if let BodyState::Streaming { started, dispatch } = state {
            started.tracker.record_success(pulse);
            dispatch
                .app
                .decisions
                .record_outcome(&dispatch.parsed.request.id, "answered");
            dispatch.app.metrics.count("request.answered", 1);
        }
    }

    /// Resumes an interrupted response at another endpoint, or aborts it.
    fn on_interrupted(
        &mut self,
        kind: ErrorKind,
    ) {
        let state = std::mem::replace(&mut self.state, BodyState::Aborted);
        let BodyState::Streaming { mut dispatch, .. } = state else {
            return;
        };
        dispatch.record_interrupted(kind);
        let Some(splitter) = &mut self.splitter else {
            dispatch.app.metrics.count("request.broken", 1);
            self.awaits_first_event = false;
            return;
        };
        if splitter.is_done() {
            // The caller has received the closing event; only the agent's end message was lost.
            self.state = BodyState::Finished;
            self.awaits_first_event = false;
            return;
        }
        let last_event_id = splitter.last_id();
        let nothing_sent = !splitter.has_data();
        if !nothing_sent {
            dispatch.renew_deadline();
        }
        if (last_event_id.is_none() && !nothing_sent) || !dispatch.may_retry(kind) {
            dispatch.app.metrics.count("request.broken", 1);
            let error = Refusal::new(kind, "the stream broke off");
            self.pending.extend_from_slice(&error_event(&error));
            self.awaits_first_event = false;
            return;
        }
        splitter.discard_partial();
        self.attempt_bytes = 0;
        dispatch.app.metrics.count("request.resumed", 1);
        self.state = BodyState::Resuming(Box::pin(async move {
            let mut dispatch = *dispatch;
            let started = dispatch.start(last_event_id).await;
            ResumeOutcome { dispatch, started }
        }));
    }

    fn on_resumed(
        &mut self,
        outcome: ResumeOutcome,
    ) {
        let ResumeOutcome { dispatch, started } = outcome;
        match started {
            Ok(started) if started.head.status == 200 => {
                self.state = BodyState::Streaming {
                    started: Box::new(started),
                    dispatch: Box::new(dispatch),
                };
            }
            Ok(_) => self.abort(
                &dispatch,
                &Refusal::new(ErrorKind::BadAnswer, "not resumed"),
            ),
            Err(refusal) => self.abort(&dispatch, &refusal),
        }
    }

    fn abort(
        &mut self,
        dispatch: &Dispatch,
        refusal: &Refusal,
    ) {
        dispatch.app.metrics.count("request.broken", 1);
        self.pending.extend_from_slice(&error_event(refusal));
        self.state = BodyState::Aborted;
        self.awaits_first_event = false;
    }
}

/// The event that reports an error to the caller before the connection is closed.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    format!("data: {}\n\n", refusal.body()).into_bytes()
}

fn measure_first_token(
    dispatch: &Dispatch,
    received_at: Micros,
) {
    let elapsed = dispatch.app.clock.now().since(received_at);
    dispatch.app.metrics.time("first_token", elapsed.0);
}
