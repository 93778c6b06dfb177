use {
    super::{IntentRow, IntentState},
    async_channel::{Receiver, Sender},
    pitchhitch_core::errors::ErrorKind,
    pitchhitch_process::{spawn_detached, unix_seconds},
    pitchhitch_services::table::{CommitOutcome, RowWrite, TableClient, TableRow},
    smol::Timer,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time that the first intent of a batch waits for others. It bounds the write rate
/// of one process; see the decision note on requests that run at most once.
const BATCH_WINDOW: Duration = Duration::from_millis(10);
/// Most intents in one commit.
const MAX_BATCH_REQUESTS: usize = 128;
/// Time within which the outcome of a commit with a lost response is looked up.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most commits of one intent; it fails after this many conflicts.
const MAX_COMMIT_ATTEMPTS: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntentAction {
    Begin,
    Release,
}

#[derive(Debug)]
struct IntentRequest {
    key: String,
    request_id: String,
    action: IntentAction,
    done: Sender<Result<(), ErrorKind>>,
    attempts: u32,
}

/// Ensures that requests with the same idempotency key run at most once, by writing an
/// intent row before a request is sent. Intents that arrive together share one commit.
#[derive(Debug, Clone)]
pub struct IdempotencyGuard {
    requests: Sender<IntentRequest>,
}

impl IdempotencyGuard {
    /// Starts the task that commits intents in batches.
    pub fn start(
        table: TableClient,
        seed: u64,
    ) -> Self {
        let (requests, inbox) = async_channel::unbounded();
        spawn_detached(commit_batches(table, inbox, seed));
        IdempotencyGuard { requests }
    }

    /// Records that the request of a key begins.
    ///
    /// # Errors
    /// [`ErrorKind::AlreadyStarted`] when an earlier request used the key and may
    /// have run, [`ErrorKind::CannotSettle`] when the table does not confirm the write.
    pub async fn begin(
        &self,
        key: &str,
        request_id: &str,
    ) -> Result<(), ErrorKind> {
        self.submit(key, request_id, IntentAction::Begin).await
    }

    /// Records that the request of a key is known not to have run.
    ///
    /// # Errors
    /// [`ErrorKind::CannotSettle`] when the table does not accept the write. The key
    /// then stays in use, so the request cannot run twice.
    pub async fn release(
        &self,
        key: &str,
        request_id: &str,
    ) -> Result<(), ErrorKind> {
        self.submit(key, request_id, IntentAction::Release).await
    }

    async fn submit(
        &self,
        key: &str,
        request_id: &str,
        action: IntentAction,
    ) -> Result<(), ErrorKind> {
        let (done, outcome) = async_channel::bounded(1);
        let request = IntentRequest {
            key: key.to_string(),
            request_id: request_id.to_string(),
            action,
            done,
            attempts: 0,
        };
        if self.requests.try_send(request).is_err() {
            return Err(ErrorKind::CannotSettle);
        }
        outcome.recv().await.unwrap_or(Err(ErrorKind::CannotSettle))
    }
}

async fn commit_batches(
    table: TableClient,
    inbox: Receiver<IntentRequest>,
    seed: u64,
) {
    let mut pending: Vec<IntentRequest> = Vec::new();
    let mut commit_seed = seed;
    loop {
        let mut batch = std::mem::take(&mut pending);
        if batch.is_empty() {
            match inbox.recv().await {
                Ok(request) => batch.push(request),
                Err(_) => return,
            }
            Timer::after(BATCH_WINDOW).await;
        }
        while batch.len() < MAX_BATCH_REQUESTS {
            match inbox.try_recv() {
                Ok(request) => batch.push(request),
                Err(_) => break,
            }
        }
        commit_seed = commit_seed.wrapping_add(1);
        pending = commit_batch(&table, batch, commit_seed).await;
    }
}

/// Commits a batch; returns the requests to include in the next batch.
async fn commit_batch(
    table: &TableClient,
    batch: Vec<IntentRequest>,
    seed: u64,
) -> Vec<IntentRequest> {
    // A commit cannot contain two requests with the same key; the later one waits.
    let mut seen_keys = BTreeSet::new();
    let (unique, duplicates): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .partition(|request| seen_keys.insert(request.key.clone()));
    let mut retries = duplicates;
    let keys: Vec<String> = unique.iter().map(|c| c.key.clone()).collect();
    let rows = match table.read(&keys).await {
        Ok(rows) => rows,
        Err(_) => {
            fail_all(unique, ErrorKind::CannotSettle);
            return retries;
        }
    };
    let rows: BTreeMap<String, TableRow> = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
    let mut writes = Vec::new();
    let mut committing = Vec::new();
    for request in unique {
        match intent_write(&request, rows.get(&request.key)) {
            Ok(write) => {
                writes.push(write);
                committing.push(request);
            }
            Err(kind) => send_result(&request, Err(kind)),
        }
    }
    if writes.is_empty() {
        return retries;
    }
    match table.commit_confirmed(&writes, CONFIRM_TIMEOUT, seed).await {
        CommitOutcome::Done { .. } => committing
            .iter()
            .for_each(|request| send_result(request, Ok(()))),
        CommitOutcome::Unknown { .. } => fail_all(committing, ErrorKind::CannotSettle),
        CommitOutcome::Conflict { .. } => retries.extend(retry_or_fail(committing)),
    }
    retries
}

/// The write for a request, given the current row.
fn intent_write(
    request: &IntentRequest,
    row: Option<&TableRow>,
) -> Result<RowWrite, ErrorKind> {
    let intent = match row {
        None => None,
        Some(row) => {
            let parsed: Result<IntentRow, _> = serde_json::from_str(&row.value);
            Some(parsed.map_err(|_| ErrorKind::CannotSettle)?)
        }
    };
    let started = intent.as_ref().filter(|i| i.state == IntentState::Started);
    let state = match (request.action, started) {
        (IntentAction::Begin, Some(_)) => return Err(ErrorKind::AlreadyStarted),
        (IntentAction::Begin, None) => IntentState::Started,
        (IntentAction::Release, Some(i)) if i.request_id == request.request_id => {
            IntentState::NotRun
        }
        (IntentAction::Release, _) => return Err(ErrorKind::CannotSettle),
    };
    let value = serde_json::to_string(&IntentRow {
        request_id: request.request_id.clone(),
        state,
        at_secs: unix_seconds(),
    });
    Ok(RowWrite {
        key: request.key.clone(),
        expected: row.map_or(0, |r| r.version),
        value: Some(value.map_err(|_| ErrorKind::CannotSettle)?),
    })
}

fn retry_or_fail(requests: Vec<IntentRequest>) -> Vec<IntentRequest> {
    let mut retries = Vec::new();
    for mut request in requests {
        request.attempts += 1;
        if request.attempts >= MAX_COMMIT_ATTEMPTS {
            send_result(&request, Err(ErrorKind::CannotSettle));
        } else {
            retries.push(request);
        }
    }
    retries
}

fn fail_all(
    requests: Vec<IntentRequest>,
    kind: ErrorKind,
) {
    for request in requests {
        send_result(&request, Err(kind));
    }
}

fn send_result(
    request: &IntentRequest,
    result: Result<(), ErrorKind>,
) {
    let _ = request.done.try_send(result);
}
