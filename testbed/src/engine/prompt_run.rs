use {
    super::{EngineCore, ResponseText},
    crate::fakes::{body_pipe, json_response, read_body, status_response},
    pitchhitch_agent::endpoint::{
        COMPUTED_HEADER, PIECES_HEADER, REFUSED_HEADER, RESUME_HEADER, VERSION_HEADER,
    },
    pitchhitch_core::kv_cache::{estimate_tokens, PieceKey, PIECE_TOKENS},
    pitchhitch_entry::openai::{PromptRequest, PromptShape},
    pitchhitch_process::spawn_detached,
    serde::Deserialize,
    serde_json::{json, Value},
    smol::{lock::SemaphoreGuardArc, Timer},
    std::sync::{atomic::Ordering, Arc},
    trillium::{Body, Conn, Status},
};

/// Response tokens if the caller sets no limit.
const DEFAULT_RESPONSE_TOKENS: u32 = 16;
/// Chunks of a response that are buffered for a caller that does not read.
const PIPE_CAPACITY: usize = 64;
/// Spaces in front of a stream, so that the HTTP library does not hold back the first event.
const STREAM_PADDING: usize = 512;

#[derive(Debug, Deserialize)]
struct ResponseLimit {
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Counts a request as running until dropped, and as cancelled if it is not complete by then.
struct RunningGuard {
    core: Arc<EngineCore>,
    is_complete: bool,
    _slot: SemaphoreGuardArc,
}

impl RunningGuard {
    fn set_complete(
        &mut self,
        is_complete: bool,
    ) {
        self.is_complete = is_complete;
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.core.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_complete {
            self.core.counts.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

struct PromptRun {
    shape: PromptShape,
    model: String,
    stream: bool,
    response: ResponseText,
    response_tokens: u32,
    prompt_tokens: u32,
    resume_after: Option<u32>,
}

/// Runs one prompt: waits for a slot and the prefill, then answers in full or as a stream.
pub async fn run_prompt(
    core: Arc<EngineCore>,
    mut conn: Conn,
) -> Conn {
    let body = read_body(&mut conn).await;
    let wanted = conn
        .request_headers()
        .get_str(VERSION_HEADER)
        .map(str::to_string);
    if !core.accepts(wanted.as_deref()) {
        conn.response_headers_mut()
            .insert(REFUSED_HEADER, "version");
        return status_response(conn, Status::Conflict, "another version");
    }
    let shape = match conn.path() {
        "/v1/completions" => PromptShape::Completion,
        _ => PromptShape::Chat,
    };
    let Ok(prompt) = PromptRequest::parse(shape, &body) else {
        return status_response(conn, Status::BadRequest, "no prompt");
    };
    let limit: Option<ResponseLimit> = serde_json::from_slice(&body).ok();
    let run = PromptRun {
        shape,
        response: ResponseText::new(&prompt.text, &core.version()),
        response_tokens: limit
            .and_then(|limit| limit.max_tokens)
            .unwrap_or(DEFAULT_RESPONSE_TOKENS),
        prompt_tokens: estimate_tokens(prompt.text.len()),
        model: prompt.model,
        stream: prompt.stream,
        resume_after: header_number(&conn, RESUME_HEADER),
    };
    let pieces = header_pieces(&conn);
    let prefill = prefill(core.clone(), &pieces, run.prompt_tokens);
    let Some(done) = conn.cancel_on_disconnect(prefill).await else {
        return conn;
    };
    conn.response_headers_mut()
        .insert(COMPUTED_HEADER, done.computed.to_string());
    if run.stream {
        stream_response(conn, run, done.running)
    } else {
        send_response(conn, run, done.running).await
    }
}

struct PrefillDone {
    running: RunningGuard,
    computed: u32,
}

async fn prefill(
    core: Arc<EngineCore>,
    pieces: &[PieceKey],
    prompt_tokens: u32,
) -> PrefillDone {
    let slot = core.prefill_queue.acquire_slot().await;
    core.running.fetch_add(1, Ordering::Relaxed);
    core.counts.started.fetch_add(1, Ordering::Relaxed);
    let running = RunningGuard {
        core: core.clone(),
        is_complete: false,
        _slot: slot,
    };
    let found = core.cache().use_prefix(pieces) as u32;
    let computed = prompt_tokens.saturating_sub(found * PIECE_TOKENS);
    core.prefill_queue
        .compute(core.shape.prefill_token * computed)
        .await;
    core.counts
        .prompt_tokens
        .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
    core.counts
        .computed_tokens
        .fetch_add(u64::from(computed), Ordering::Relaxed);
    let mut cache = core.cache();
    pieces.iter().for_each(|key| cache.insert(*key));
    drop(cache);
    PrefillDone { running, computed }
}

fn header_number(
    conn: &Conn,
    name: &'static str,
) -> Option<u32> {
    conn.request_headers().get_str(name)?.parse().ok()
}

fn header_pieces(conn: &Conn) -> Vec<PieceKey> {
    let text = conn
        .request_headers()
        .get_str(PIECES_HEADER)
        .unwrap_or_default();
    text.split(',').filter_map(|key| key.parse().ok()).collect()
}

fn stream_response(
    mut conn: Conn,
    run: PromptRun,
    mut running: RunningGuard,
) -> Conn {
    let pipe = body_pipe(PIPE_CAPACITY);
    let writer = pipe.writer;
    spawn_detached(async move {
        let first = run.resume_after.map_or(0, |last| last + 1);
        let mut text = format!(":{}\n\n", " ".repeat(STREAM_PADDING)).into_bytes();
        for index in first..run.response_tokens {
            text.extend_from_slice(stream_event(&run, index).as_bytes());
            if writer.send(std::mem::take(&mut text)).await.is_err() {
                return;
            }
            Timer::after(running.core.shape.decode_token).await;
        }
        text.extend_from_slice(b"data: [DONE]\n\n");
        running.set_complete(writer.send(text).await.is_ok());
    });
    conn.response_headers_mut()
        .insert("content-type", "text/event-stream");
    conn.with_status(Status::Ok)
        .with_body(Body::new_streaming(pipe.body, None))
        .halt()
}

fn stream_event(
    run: &PromptRun,
    index: u32,
) -> String {
    let word = run.response.word(index);
    let choice = match run.shape {
        PromptShape::Chat => json!({"index": 0, "delta": {"content": word}, "finish_reason": null}),
        PromptShape::Completion => json!({"index": 0, "text": word, "finish_reason": null}),
    };
    let data = json!({
        "id": "stand-in", "object": object_name(run, true), "created": 0,
        "model": run.model, "choices": [choice],
    });
    format!("id: {index}\ndata: {data}\n\n")
}

fn object_name(
    run: &PromptRun,
    streamed: bool,
) -> &'static str {
    match (run.shape, streamed) {
        (PromptShape::Chat, true) => "chat.completion.chunk",
        (PromptShape::Chat, false) => "chat.completion",
        (PromptShape::Completion, _) => "text_completion",
    }
}

async fn send_response(
    mut conn: Conn,
    run: PromptRun,
    mut running: RunningGuard,
) -> Conn {
    let duration = running.core.shape.decode_token * run.response_tokens;
    let decode = async {
        Timer::after(duration).await;
    };
    if conn.cancel_on_disconnect(decode).await.is_none() {
        return conn;
    }
    running.set_complete(true);
    json_response(conn, &response_body(&run))
}

fn response_body(run: &PromptRun) -> Value {
    let words = run.response.words(run.response_tokens);
    let choice = match run.shape {
        PromptShape::Chat => {
            json!({"index": 0, "message": {"role": "assistant", "content": words}, "finish_reason": "stop"})
        }
        PromptShape::Completion => json!({"index": 0, "text": words, "finish_reason": "stop"}),
    };
    json!({
        "id": "stand-in", "object": object_name(run, false), "created": 0,
        "model": run.model, "choices": [choice],
        "usage": {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.response_tokens,
            "total_tokens": run.prompt_tokens + run.response_tokens,
        },
    })
}
