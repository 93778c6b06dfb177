use {
    super::GateContext,
    crate::{
        control::{GateDecision, PendingWork},
        endpoint::{build_request, computed_tokens, response_headers, send_request, CallFailure},
    },
    futures_lite::{future, AsyncReadExt},
    pitchhitch_core::{
        errors::ErrorKind,
        role::{prompt_identity, AgentEvent, GateWork, PromptUse, WorkTicket},
        time::Micros,
    },
    pitchhitch_wire::{
        link::{LinkError, ReplySender},
        messages::{HandOver, LinkReply, ReplyHead},
    },
    std::sync::Arc,
    trillium_client::Conn,
};

/// Maximum number of response bytes in one chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a request ended on the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Answered,
    NotRun(ErrorKind),
    Failed(ErrorKind),
    CallerGone,
}

/// Result of a finished import.
#[derive(Debug, Clone, Copy)]
struct ImportResult {
    pieces: u32,
    duration: Micros,
}

/// Reports the end of a request to the gate when dropped, however the request ended.
struct EndedGuard {
    context: Arc<GateContext>,
    ticket: WorkTicket,
}

impl Drop for EndedGuard {
    fn drop(&mut self) {
        self.context.handle.send_event(AgentEvent::Ended {
            ticket: self.ticket,
        });
    }
}

/// Runs one request and sends its replies.
pub async fn run_request(
    context: Arc<GateContext>,
    mut hand_over: HandOver,
    mut replies: ReplySender,
) {
    let request_id = hand_over.request_id.clone();
    let pending = context.handle.hand_over(gate_work(&context, &hand_over));
    let guard = EndedGuard {
        context: context.clone(),
        ticket: pending.ticket,
    };
    // Lets the entry process detect a frozen agent: without this reply it retries elsewhere.
    let taken_up = LinkReply::TakenUp {
        ticket: pending.ticket,
    };
    if replies.send(&taken_up).await.is_err() {
        return;
    }
    let end = admit_and_run(&context, pending, &mut hand_over, &mut replies).await;
    drop(guard);
    log::debug!(event = "run", request = request_id.as_str(), end = format!("{end:?}").as_str(); "");
    let pulse = context.handle.view().pulse;
    let last = match end {
        RunEnd::Answered | RunEnd::CallerGone => None,
        RunEnd::NotRun(kind) => Some(LinkReply::Refused { kind, pulse }),
        RunEnd::Failed(kind) => Some(LinkReply::Failed { kind, pulse }),
    };
    context.metrics.count(metric_name(end), 1);
    // A failed send means that the caller has disconnected.
    if let Some(last) = last {
        if replies.send(&last).await.is_err() {
            return;
        }
    }
    if end != RunEnd::CallerGone {
        let _ = replies.end();
    }
}

fn metric_name(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Answered => "request.answered",
        RunEnd::NotRun(_) => "request.refused",
        RunEnd::Failed(_) => "request.failed",
        RunEnd::CallerGone => "request.caller_gone",
    }
}

async fn admit_and_run(
    context: &Arc<GateContext>,
    pending: PendingWork,
    hand_over: &mut HandOver,
    replies: &mut ReplySender,
) -> RunEnd {
    let ticket = pending.ticket;
    let decision = unless_closed(replies, pending.decision()).await;
    match decision {
        None => return RunEnd::CallerGone,
        Some(GateDecision::Refuse(kind)) => return RunEnd::NotRun(kind),
        Some(GateDecision::Start) => {}
    }
    let started_at = context.clock.now();
    let imported = import_pieces(context, hand_over, replies).await;
    let Some(imported) = imported else {
        return RunEnd::CallerGone;
    };
    let import = ImportResult {
        pieces: imported,
        duration: context.clock.now().since(started_at),
    };
    context.handle.send_event(AgentEvent::Sent {
        ticket,
        prompt: prompt_use(hand_over),
    });
    let conn = build_request(&context.client, hand_over);
    let sent = unless_hung(context, async {
        send_request(conn).await.map_err(|failure| match failure {
            CallFailure::NotRun(kind) => RunEnd::NotRun(kind),
            CallFailure::Unknown(kind) => RunEnd::Failed(kind),
        })
    });
    let conn = match unless_closed(replies, sent).await {
        None => return RunEnd::CallerGone,
        Some(Err(end)) => return end,
        Some(Ok(conn)) => conn,
    };
    context.client.hang_signal().record_heard();
    let end = relay_response(context, ticket, conn, import, replies).await;
    if end == RunEnd::Answered {
        if let Some(plan) = hand_over.export.take() {
            context.transfers.queue_export(plan);
        }
    }
    end
}

fn gate_work(
    context: &GateContext,
    hand_over: &HandOver,
) -> GateWork {
    GateWork {
        organisation: hand_over.organisation.clone(),
        version: hand_over.version.clone(),
        tokens: hand_over.tokens,
        deadline: context.clock.now() + Micros::from_millis(hand_over.deadline_millis),
    }
}

fn prompt_use(hand_over: &HandOver) -> Option<PromptUse> {
    let identity = prompt_identity(&hand_over.pieces)?;
    Some(PromptUse {
        identity,
        organisation: hand_over.organisation.clone(),
        label: hand_over.label.clone(),
    })
}

/// Imports the pieces of the import plan, if any. Returns their number, or none if the
/// caller disconnected.
async fn import_pieces(
    context: &GateContext,
    hand_over: &mut HandOver,
    replies: &mut ReplySender,
) -> Option<u32> {
    let Some(plan) = hand_over.import.take() else {
        return Some(0);
    };
    let version = hand_over.version.clone().unwrap_or_default();
    unless_closed(replies, context.transfers.import(plan, &version)).await
}

async fn relay_response(
    context: &GateContext,
    ticket: WorkTicket,
    mut conn: Conn,
    import: ImportResult,
    replies: &mut ReplySender,
) -> RunEnd {
    let computed = computed_tokens(&conn);
    let head = LinkReply::Head(ReplyHead {
        status: conn.status().map_or(502, |s| s as u16),
        headers: response_headers(&conn),
        computed_tokens: computed,
        imported_pieces: import.pieces,
        import_micros: import.duration.0,
        pulse: context.handle.view().pulse,
    });
    let mut end = match replies.send(&head).await {
        Ok(()) => None,
        Err(_) => Some(RunEnd::CallerGone),
    };
    let mut first = true;
    let mut total = 0;
    let mut buffer = vec![0; CHUNK_BYTES];
    while end.is_none() {
        let read = unless_hung(context, async {
            let read = conn.response_body().read(&mut buffer).await;
            read.map_err(|_| RunEnd::Failed(ErrorKind::EndpointLost))
        });
        let chunk_end = match unless_closed(replies, read).await {
            None => Some(RunEnd::CallerGone),
            Some(Err(end)) => Some(end),
            Some(Ok(length)) => {
                context.client.hang_signal().record_heard();
                if std::mem::take(&mut first) {
                    context
                        .handle
                        .send_event(AgentEvent::FirstToken { ticket, computed });
                }
                total += length as u64;
                relay_chunk(context, &buffer[..length], total, replies).await
            }
        };
        end = chunk_end;
    }
    let end = end.unwrap_or(RunEnd::Answered);
    if end != RunEnd::Answered {
        // Keeps the connection from being reused: closing it makes the endpoint stop the request.
        conn.response_headers_mut().insert("connection", "close");
    }
    end
}

async fn relay_chunk(
    context: &GateContext,
    chunk: &[u8],
    total: u64,
    replies: &mut ReplySender,
) -> Option<RunEnd> {
    let ended = chunk.is_empty();
    let reply = if ended {
        LinkReply::End {
            body_bytes: total,
            pulse: context.handle.view().pulse,
        }
    } else {
        LinkReply::Chunk(chunk.to_vec())
    };
    let sent: Result<(), LinkError> = replies.send(&reply).await;
    match (sent, ended) {
        (Err(_), _) => Some(RunEnd::CallerGone),
        (Ok(()), true) => Some(RunEnd::Answered),
        (Ok(()), false) => None,
    }
}

/// Waits for the endpoint; the end of the run if it stops responding.
async fn unless_hung<T>(
    context: &GateContext,
    operation: impl std::future::Future<Output = Result<T, RunEnd>>,
) -> Result<T, RunEnd> {
    let hung = context.client.hang_signal().hung();
    future::or(operation, async {
        hung.await;
        Err(RunEnd::Failed(ErrorKind::EndpointLost))
    })
    .await
}

/// Waits for a future; none if the entry process resets the stream or the link fails first.
async fn unless_closed<T>(
    replies: &mut ReplySender,
    operation: impl std::future::Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(operation.await) }, async {
        replies.closed().await;
        None
    })
    .await
}
