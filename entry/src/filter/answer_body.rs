use {
    super::{AdmitPermit, Dispatch, Refusal, StartedTry},
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

/// Blanks that open a stream of events: the HTTP library holds back the first
/// bytes of a body until its buffer is full, and the first token must not wait.
const OPENING_COMMENT: usize = 512;

type ResumeFuture = Pin<Box<dyn Future<Output = ResumeEnd> + Send>>;

struct ResumeEnd {
    dispatch: Dispatch,
    started: Result<StartedTry, Refusal>,
}

enum BodyState {
    Live {
        started: Box<StartedTry>,
        dispatch: Box<Dispatch>,
    },
    Resuming(ResumeFuture),
    Ended,
    Broken,
}

struct BodyInner {
    state: BodyState,
    ready: Vec<u8>,
    taken: usize,
    splitter: Option<SseSplitter>,
    received: u64,
    began_at: Micros,
    first: bool,
    _permit: AdmitPermit,
}

/// The body of an answer, as it comes from the agent.
///
/// A stream of events that breaks is taken up again at another endpoint, after
/// the last whole event. A body that cannot be completed ends in an error, so
/// that the connection is closed without its end mark.
pub struct AnswerBody {
    // Never contended: the lock only makes the body shareable, as HTTP wants it.
    inner: Mutex<BodyInner>,
}

impl AnswerBody {
    /// A body that goes on from `ready`.
    pub fn new(
        started: StartedTry,
        dispatch: Dispatch,
        ready: Vec<u8>,
        is_events: bool,
        began_at: Micros,
        permit: AdmitPermit,
    ) -> Self {
        let received = ready.len() as u64;
        let opening = if is_events { opening_comment() } else { ready };
        AnswerBody {
            inner: Mutex::new(BodyInner {
                state: BodyState::Live {
                    started: Box::new(started),
                    dispatch: Box::new(dispatch),
                },
                ready: opening,
                taken: 0,
                splitter: is_events.then(SseSplitter::default),
                received,
                began_at,
                first: true,
                _permit: permit,
            }),
        }
    }
}

fn opening_comment() -> Vec<u8> {
    let mut comment = vec![b' '; OPENING_COMMENT];
    comment[0] = b':';
    comment[OPENING_COMMENT - 2] = b'\n';
    comment[OPENING_COMMENT - 1] = b'\n';
    comment
}

impl AsyncRead for AnswerBody {
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
            // The opening of a stream goes out together with its first event.
            let holding = self.first && self.splitter.is_some();
            if self.taken < self.ready.len() && !holding {
                return Poll::Ready(Ok(self.take(buffer)));
            }
            match &mut self.state {
                BodyState::Ended => return Poll::Ready(Ok(0)),
                BodyState::Broken => {
                    let error = io::Error::other("the answer could not be completed");
                    return Poll::Ready(Err(error));
                }
                BodyState::Live { started, .. } => {
                    let reply = std::task::ready!(started.replies.poll_next(cx));
                    self.take_reply(reply.map_err(|e| e.kind()));
                }
                BodyState::Resuming(resume) => {
                    let end = std::task::ready!(resume.as_mut().poll(cx));
                    self.resumed(end);
                }
            }
        }
    }

    fn take(
        &mut self,
        buffer: &mut [u8],
    ) -> usize {
        let rest = &self.ready[self.taken..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.taken += length;
        if self.taken == self.ready.len() {
            self.ready.clear();
            self.taken = 0;
        }
        length
    }

    fn take_reply(
        &mut self,
        reply: Result<Option<LinkReply>, ErrorKind>,
    ) {
        match reply {
            Ok(Some(LinkReply::Chunk(bytes))) => self.take_chunk(&bytes),
            Ok(Some(LinkReply::End { body_bytes, pulse })) => {
                let whole = body_bytes == self.received;
                let closed = self.splitter.as_ref().is_none_or(SseSplitter::is_done);
                if whole && closed {
                    self.end(pulse);
                } else {
                    self.break_off(ErrorKind::BadAnswer);
                }
            }
            Ok(Some(LinkReply::Failed { kind, pulse })) => {
                if let BodyState::Live { started, .. } = &self.state {
                    started.tracker.failed(kind, Some(pulse));
                }
                self.break_off(kind);
            }
            Ok(_) => self.break_off(ErrorKind::BadMessage),
            Err(kind) => {
                if let BodyState::Live { started, .. } = &self.state {
                    started.tracker.failed(kind, None);
                }
                self.break_off(kind);
            }
        }
    }

    fn take_chunk(
        &mut self,
        bytes: &[u8],
    ) {
        self.received += bytes.len() as u64;
        let BodyState::Live { started, dispatch } = &mut self.state else {
            return;
        };
        started.tracker.first_token();
        let passed = match &mut self.splitter {
            None => Ok(bytes.to_vec()),
            Some(splitter) => splitter.feed(bytes),
        };
        match passed {
            Ok(passed) => {
                if self.first && !passed.is_empty() {
                    self.first = false;
                    note_first_token(dispatch, self.began_at);
                }
                self.ready.extend_from_slice(&passed);
            }
            Err(_) => self.break_off(ErrorKind::BadAnswer),
        }
    }

    fn end(
        &mut self,
        pulse: pitchhitch_core::role::AgentPulse,
    ) {
        let state = std::mem::replace(&mut self.state, BodyState::Ended);
        self.first = false;
        if let BodyState::Live { started, dispatch } = state {
            started.tracker.answered(pulse);
            dispatch
                .app
                .ring
                .record_outcome(&dispatch.work.request.id, "answered");
            dispatch.app.metrics.count("request.answered", 1);
        }
    }

    /// The answer broke off: it is taken up again elsewhere, or given up.
    fn break_off(
        &mut self,
        kind: ErrorKind,
    ) {
        let state = std::mem::replace(&mut self.state, BodyState::Broken);
        let BodyState::Live { mut dispatch, .. } = state else {
            return;
        };
        dispatch.broke_off(kind);
        let Some(splitter) = &mut self.splitter else {
            dispatch.app.metrics.count("request.broken", 1);
            self.first = false;
            return;
        };
        if splitter.is_done() {
            // The caller has all of it; only the end of the transport was lost.
            self.state = BodyState::Ended;
            self.first = false;
            return;
        }
        let after = splitter.last_id();
        let untouched = !splitter.has_data();
        if !untouched {
            dispatch.renew_deadline();
        }
        if (after.is_none() && !untouched) || !dispatch.may_try_again(kind) {
            dispatch.app.metrics.count("request.broken", 1);
            let error = Refusal::new(kind, "the stream broke off");
            self.ready.extend_from_slice(&error_event(&error));
            self.first = false;
            return;
        }
        splitter.discard_partial();
        self.received = 0;
        dispatch.app.metrics.count("request.resumed", 1);
        self.state = BodyState::Resuming(Box::pin(async move {
            let mut dispatch = *dispatch;
            let started = dispatch.start(after).await;
            ResumeEnd { dispatch, started }
        }));
    }

    fn resumed(
        &mut self,
        end: ResumeEnd,
    ) {
        let ResumeEnd { dispatch, started } = end;
        match started {
            Ok(started) if started.head.status == 200 => {
                self.state = BodyState::Live {
                    started: Box::new(started),
                    dispatch: Box::new(dispatch),
                };
            }
            Ok(_) => self.give_up(
                &dispatch,
                &Refusal::new(ErrorKind::BadAnswer, "not resumed"),
            ),
            Err(refusal) => self.give_up(&dispatch, &refusal),
        }
    }

    fn give_up(
        &mut self,
        dispatch: &Dispatch,
        refusal: &Refusal,
    ) {
        dispatch.app.metrics.count("request.broken", 1);
        self.ready.extend_from_slice(&error_event(refusal));
        self.state = BodyState::Broken;
        self.first = false;
    }
}

/// What the caller of a stream is told before the connection is closed.
fn error_event(refusal: &Refusal) -> Vec<u8> {
    format!("data: {}\n\n", refusal.body()).into_bytes()
}

fn note_first_token(
    dispatch: &Dispatch,
    began_at: Micros,
) {
    let span = dispatch.app.clock.now().since(began_at);
    dispatch.app.metrics.time("first_token", span.0);
}
