use {
    super::{
        expected_response, service_body, CallerClient, CallerResponse, ChatRequest, ReplayResult,
        RequestHeader,
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

/// Attempts of a caller at a request that may be retried.
const MAX_ATTEMPTS: u32 = 4;

/// A replay of a trace.
#[derive(Debug, Clone)]
pub struct TraceReplay {
    /// Shape of the deployment.
    pub shape: DeploymentShape,
    /// Caller addresses of the entry processes, used round robin as by a load balancer.
    pub entries: Vec<SocketAddr>,
    /// Speed-up: milliseconds of the trace per millisecond of the replay.
    pub speedup: f64,
    /// Weight versions whose responses are correct.
    pub versions: Vec<String>,
}

#[derive(Debug, Default)]
struct ReplayState {
    result: Mutex<ReplayResult>,
    next_entry: AtomicU64,
    completed: AtomicU64,
}

/// Progress of a replay; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ReplayProgress {
    state: Arc<ReplayState>,
}

impl ReplayProgress {
    /// Number of completed requests.
    pub fn completed(&self) -> u64 {
        self.state.completed.load(Ordering::Relaxed)
    }
}

impl TraceReplay {
    /// Replays a trace and waits for all responses.
    pub async fn run(
        &self,
        rows: &[TraceRow],
        progress: &ReplayProgress,
    ) -> ReplayResult {
        let state = progress.state.clone();
        let client = CallerClient::default();
        let started = Instant::now();
        let mut tasks = Vec::new();
        for (number, row) in rows.iter().enumerate() {
            let due = Duration::from_secs_f64(row.timestamp as f64 / 1_000.0 / self.speedup);
            Timer::at(started + due).await;
            let replay = self.clone();
            let task = replay.replay_row(number, row.clone(), client.clone(), state.clone());
            tasks.push(spawn(task));
        }
        for task in tasks {
            task.await;
        }
        let result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        result.clone()
    }

    async fn replay_row(
        self,
        number: usize,
        row: TraceRow,
        client: CallerClient,
        state: Arc<ReplayState>,
    ) {
        if row.is_service_request() {
            self.send_service_request(number, &row, &client, &state)
                .await;
        } else {
            self.send_chat(&row, &client, &state).await;
        }
        state.completed.fetch_add(1, Ordering::Relaxed);
    }

    fn pick_entry(
        &self,
        state: &ReplayState,
    ) -> SocketAddr {
        let turn = state.next_entry.fetch_add(1, Ordering::Relaxed) as usize;
        self.entries[turn % self.entries.len()]
    }

    async fn send_chat(
        &self,
        row: &TraceRow,
        client: &CallerClient,
        state: &ReplayState,
    ) {
        let text = prompt_text(row);
        let started = Instant::now();
        let mut response = None;
        for _ in 0..MAX_ATTEMPTS {
            let attempt = client.chat(&self.chat_request(row, &text, state)).await;
            let should_retry = !attempt.is_complete || attempt.status != 200;
            response = Some(attempt);
            if !should_retry {
                break;
            }
            Timer::after(Duration::from_millis(200)).await;
        }
        let Some(response) = response else {
            return;
        };
        let mut result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        let is_correct = self
            .versions
            .iter()
            .any(|version| response.text == expected_response(&text, version, row.output_length));
        if response.status == 200 && response.is_complete && is_correct {
            result.correct += 1;
            let waited = started.elapsed().saturating_sub(response.total);
            result.record_first_token(waited + response.first_token);
        } else if response.status == 200 && response.is_complete {
            result.wrong += 1;
            result.record_problem(format!("wrong response to request {}", response.request_id));
        } else {
            result.lost += 1;
            result.record_problem(describe(&response));
        }
    }

    fn chat_request(
        &self,
        row: &TraceRow,
        text: &str,
        state: &ReplayState,
    ) -> ChatRequest {
        ChatRequest {
            address: self.pick_entry(state),
            key: self.shape.api_key(&row.organisation),
            model: self.shape.model.clone(),
            text: text.to_string(),
            answer_tokens: row.output_length,
            stream: true,
            label: row.label.clone(),
            headers: Vec::new(),
        }
    }

    async fn send_service_request(
        &self,
        number: usize,
        row: &TraceRow,
        client: &CallerClient,
        state: &ReplayState,
    ) {
        let body = service_body(&self.shape.name, number);
        let mut headers = Vec::new();
        if row.repeatable {
            headers.push(RequestHeader {
                name: "x-pitchhitch-repeatable",
                value: "yes".to_string(),
            });
        } else {
            headers.push(RequestHeader {
                name: "idempotency-key",
                value: body.clone(),
            });
        }
        let key = self.shape.api_key(&row.organisation);
        let mut response = None;
        for _ in 0..MAX_ATTEMPTS {
            let url = format!(
                "http://{}/{}/place",
                self.pick_entry(state),
                self.shape.service
            );
            let attempt = client
                .send_request("POST", &url, &key, &headers, body.clone())
                .await;
            let should_retry =
                attempt.status != 200 && (row.repeatable || attempt.ran == "not-run");
            response = Some(attempt);
            if !should_retry {
                break;
            }
            Timer::after(Duration::from_millis(200)).await;
        }
        let Some(response) = response else {
            return;
        };
        let mut result = state.result.lock().unwrap_or_else(PoisonError::into_inner);
        if response.status == 200 && response.text.contains(&format!("\"body\":\"{body}\"")) {
            result.correct += 1;
        } else if response.status == 200 {
            result.wrong += 1;
            result.record_problem(format!(
                "response of another request to request {}",
                response.request_id
            ));
        } else if response.ran == "not-run" {
            result.not_run += 1;
            result.record_problem(describe(&response));
        } else if row.repeatable {
            result.lost += 1;
            result.record_problem(describe(&response));
        } else {
            result.unknown += 1;
            result.record_problem(describe(&response));
        }
    }
}

fn describe(response: &CallerResponse) -> String {
    let text: String = response.text.chars().take(200).collect();
    format!(
        "request '{}': status {}: {text}",
        response.request_id, response.status
    )
}
