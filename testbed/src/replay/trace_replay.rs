use {
    super::{
        right_answer, service_body, CallHeader, CallOutcome, CallerClient, PromptCall, ReplayResult,
    },
    crate::{
        deploy::DeploymentShape,
        trace::{prompt_text, TraceRow},
    },
    pitchhitch_process::spawn,
    smol::Timer,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::{Duration, Instant},
    },
};

/// Tries of a caller whose repeatable request was told "not run".
const CALLER_TRIES: u32 = 4;

/// A replay of a trace.
#[derive(Debug, Clone)]
pub struct TraceReplay {
    /// How the deployment is built.
    pub shape: DeploymentShape,
    /// Where callers are served; requests go to them in turn, as from a balancer.
    pub entries: Vec<SocketAddr>,
    /// Milliseconds of the trace in one millisecond of the replay.
    pub compression: f64,
    /// Weight versions whose answers are right.
    pub versions: Vec<String>,
}

#[derive(Debug, Default)]
struct ReplayState {
    result: Mutex<ReplayResult>,
    next_entry: AtomicU64,
    done: AtomicU64,
}

/// How far a replay is; cheap to share.
#[derive(Debug, Clone, Default)]
pub struct ReplayProgress {
    state: Arc<ReplayState>,
}

impl ReplayProgress {
    /// Requests that are over.
    pub fn done(&self) -> u64 {
        self.state.done.load(Ordering::Relaxed)
    }
}

impl TraceReplay {
    /// Replays a trace to its end.
    pub async fn run(
        &self,
        rows: &[TraceRow],
        progress: &ReplayProgress,
    ) -> ReplayResult {
        let state = progress.state.clone();
        let client = CallerClient::default();
        let started = Instant::now();
        let mut calls = Vec::new();
        for (number, row) in rows.iter().enumerate() {
            let due = Duration::from_secs_f64(row.timestamp as f64 / 1_000.0 / self.compression);
            Timer::at(started + due).await;
            let replay = self.clone();
            let call = replay.call(number, row.clone(), client.clone(), state.clone());
            calls.push(spawn(call));
        }
        for call in calls {
            call.await;
        }
        let result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        result.clone()
    }

    async fn call(
        self,
        number: usize,
        row: TraceRow,
        client: CallerClient,
        state: Arc<ReplayState>,
    ) {
        if row.is_service_call() {
            self.call_service(number, &row, &client, &state).await;
        } else {
            self.call_model(&row, &client, &state).await;
        }
        state.done.fetch_add(1, Ordering::Relaxed);
    }

    fn entry(
        &self,
        state: &ReplayState,
    ) -> SocketAddr {
        let turn = state.next_entry.fetch_add(1, Ordering::Relaxed) as usize;
        self.entries[turn % self.entries.len()]
    }

    async fn call_model(
        &self,
        row: &TraceRow,
        client: &CallerClient,
        state: &ReplayState,
    ) {
        let text = prompt_text(row);
        let started = Instant::now();
        let mut outcome = None;
        for _ in 0..CALLER_TRIES {
            let tried = client.chat(&self.prompt_call(row, &text, state)).await;
            let again = !tried.whole || tried.status != 200;
            outcome = Some(tried);
            if !again {
                break;
            }
            Timer::after(Duration::from_millis(200)).await;
        }
        let Some(outcome) = outcome else {
            return;
        };
        let mut result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        let is_right = self
            .versions
            .iter()
            .any(|version| outcome.text == right_answer(&text, version, row.output_length));
        if outcome.status == 200 && outcome.whole && is_right {
            result.right += 1;
            let waited = started.elapsed().saturating_sub(outcome.total);
            result.saw_first_token(waited + outcome.first_token);
        } else if outcome.status == 200 && outcome.whole {
            result.wrong += 1;
            result.problem(format!("wrong answer to {}", outcome.request_id));
        } else {
            result.lost += 1;
            result.problem(describe(&outcome));
        }
    }

    fn prompt_call(
        &self,
        row: &TraceRow,
        text: &str,
        state: &ReplayState,
    ) -> PromptCall {
        PromptCall {
            address: self.entry(state),
            key: self.shape.key(&row.organisation),
            model: self.shape.model.clone(),
            text: text.to_string(),
            answer_tokens: row.output_length,
            stream: true,
            label: row.label.clone(),
            headers: Vec::new(),
        }
    }

    async fn call_service(
        &self,
        number: usize,
        row: &TraceRow,
        client: &CallerClient,
        state: &ReplayState,
    ) {
        let body = service_body(&self.shape.name, number);
        let mut headers = Vec::new();
        if row.repeatable {
            headers.push(CallHeader {
                name: "x-pitchhitch-repeatable",
                value: "yes".to_string(),
            });
        } else {
            headers.push(CallHeader {
                name: "idempotency-key",
                value: body.clone(),
            });
        }
        let key = self.shape.key(&row.organisation);
        let mut outcome = None;
        for _ in 0..CALLER_TRIES {
            let url = format!("http://{}/{}/place", self.entry(state), self.shape.service);
            let tried = client
                .plain("POST", &url, &key, &headers, body.clone())
                .await;
            let again = tried.status != 200 && (row.repeatable || tried.ran == "not-run");
            outcome = Some(tried);
            if !again {
                break;
            }
            Timer::after(Duration::from_millis(200)).await;
        }
        let Some(outcome) = outcome else {
            return;
        };
        let mut result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        if outcome.status == 200 && outcome.text.contains(&format!("\"body\":\"{body}\"")) {
            result.right += 1;
        } else if outcome.status == 200 {
            result.wrong += 1;
            result.problem(format!("another call's answer to {}", outcome.request_id));
        } else if outcome.ran == "not-run" {
            result.not_run += 1;
            result.problem(describe(&outcome));
        } else if row.repeatable {
            result.lost += 1;
            result.problem(describe(&outcome));
        } else {
            result.unknown += 1;
            result.problem(describe(&outcome));
        }
    }
}

fn describe(outcome: &CallOutcome) -> String {
    let text: String = outcome.text.chars().take(200).collect();
    format!(
        "request '{}': status {}: {text}",
        outcome.request_id, outcome.status
    )
}
