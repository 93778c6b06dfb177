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

/// Time that the first intent of a group waits for others. It bounds the writes
/// of one process; see the decision note on requests that run at most once.
const GROUP_WINDOW: Duration = Duration::from_millis(10);
/// Intents in one commit at most.
const GROUP_LIMIT: usize = 128;
/// How long a lost answer of the table is looked for.
const SETTLE_PATIENCE: Duration = Duration::from_millis(1_500);
/// Commits for one intent before it is given up.
const COMMIT_TRIES: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntentAim {
    Begin,
    Release,
}

#[derive(Debug)]
struct IntentCall {
    key: String,
    request_id: String,
    aim: IntentAim,
    done: Sender<Result<(), ErrorKind>>,
    tries: u32,
}

/// Writes an intent row before a request that may run at most once is handed
/// over. Intents that come together share one commit.
#[derive(Debug, Clone)]
pub struct OnceGate {
    calls: Sender<IntentCall>,
}

impl OnceGate {
    /// Starts the committer.
    pub fn start(
        table: TableClient,
        seed: u64,
    ) -> Self {
        let (calls, inbox) = async_channel::unbounded();
        spawn_detached(commit_groups(table, inbox, seed));
        OnceGate { calls }
    }

    /// Notes that the request of a key begins.
    ///
    /// # Errors
    /// [`ErrorKind::AlreadyStarted`] when the key was used before and that
    /// request may have run, [`ErrorKind::CannotSettle`] when the table does not tell.
    pub async fn begin(
        &self,
        key: &str,
        request_id: &str,
    ) -> Result<(), ErrorKind> {
        self.call(key, request_id, IntentAim::Begin).await
    }

    /// Notes that the request of a key is proven not to have run.
    ///
    /// # Errors
    /// [`ErrorKind::CannotSettle`] when the table does not take it; the key
    /// then stays used, which is on the safe side.
    pub async fn release(
        &self,
        key: &str,
        request_id: &str,
    ) -> Result<(), ErrorKind> {
        self.call(key, request_id, IntentAim::Release).await
    }

    async fn call(
        &self,
        key: &str,
        request_id: &str,
        aim: IntentAim,
    ) -> Result<(), ErrorKind> {
        let (done, outcome) = async_channel::bounded(1);
        let call = IntentCall {
            key: key.to_string(),
            request_id: request_id.to_string(),
            aim,
            done,
            tries: 0,
        };
        if self.calls.try_send(call).is_err() {
            return Err(ErrorKind::CannotSettle);
        }
        outcome.recv().await.unwrap_or(Err(ErrorKind::CannotSettle))
    }
}

async fn commit_groups(
    table: TableClient,
    inbox: Receiver<IntentCall>,
    seed: u64,
) {
    let mut leftover: Vec<IntentCall> = Vec::new();
    let mut round = seed;
    loop {
        let mut group = std::mem::take(&mut leftover);
        if group.is_empty() {
            match inbox.recv().await {
                Ok(call) => group.push(call),
                Err(_) => return,
            }
            Timer::after(GROUP_WINDOW).await;
        }
        while group.len() < GROUP_LIMIT {
            match inbox.try_recv() {
                Ok(call) => group.push(call),
                Err(_) => break,
            }
        }
        round = round.wrapping_add(1);
        leftover = commit_group(&table, group, round).await;
    }
}

/// Commits a group; gives the calls that must be tried again.
async fn commit_group(
    table: &TableClient,
    group: Vec<IntentCall>,
    seed: u64,
) -> Vec<IntentCall> {
    // Two calls with one key cannot be in one commit; the later one waits.
    let mut taken = BTreeSet::new();
    let (now, later): (Vec<_>, Vec<_>) = group
        .into_iter()
        .partition(|call| taken.insert(call.key.clone()));
    let mut again = later;
    let keys: Vec<String> = now.iter().map(|c| c.key.clone()).collect();
    let rows = match table.read(&keys).await {
        Ok(rows) => rows,
        Err(_) => {
            refuse_all(now, ErrorKind::CannotSettle);
            return again;
        }
    };
    let rows: BTreeMap<String, TableRow> = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
    let mut writes = Vec::new();
    let mut writing = Vec::new();
    for call in now {
        match wanted_write(&call, rows.get(&call.key)) {
            Ok(write) => {
                writes.push(write);
                writing.push(call);
            }
            Err(kind) => answer(&call, Err(kind)),
        }
    }
    if writes.is_empty() {
        return again;
    }
    match table.commit_confirmed(&writes, SETTLE_PATIENCE, seed).await {
        CommitOutcome::Done { .. } => writing.iter().for_each(|call| answer(call, Ok(()))),
        CommitOutcome::Unknown { .. } => refuse_all(writing, ErrorKind::CannotSettle),
        CommitOutcome::Conflict { .. } => again.extend(retried(writing)),
    }
    again
}

/// The write for a call, given the row as it is.
fn wanted_write(
    call: &IntentCall,
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
    let state = match (call.aim, started) {
        (IntentAim::Begin, Some(_)) => return Err(ErrorKind::AlreadyStarted),
        (IntentAim::Begin, None) => IntentState::Started,
        (IntentAim::Release, Some(i)) if i.request_id == call.request_id => IntentState::NotRun,
        (IntentAim::Release, _) => return Err(ErrorKind::CannotSettle),
    };
    let value = serde_json::to_string(&IntentRow {
        request_id: call.request_id.clone(),
        state,
        at_secs: unix_seconds(),
    });
    Ok(RowWrite {
        key: call.key.clone(),
        expected: row.map_or(0, |r| r.version),
        value: Some(value.map_err(|_| ErrorKind::CannotSettle)?),
    })
}

fn retried(calls: Vec<IntentCall>) -> Vec<IntentCall> {
    let mut again = Vec::new();
    for mut call in calls {
        call.tries += 1;
        if call.tries >= COMMIT_TRIES {
            answer(&call, Err(ErrorKind::CannotSettle));
        } else {
            again.push(call);
        }
    }
    again
}

fn refuse_all(
    calls: Vec<IntentCall>,
    kind: ErrorKind,
) {
    for call in calls {
        answer(&call, Err(kind));
    }
}

fn answer(
    call: &IntentCall,
    result: Result<(), ErrorKind>,
) {
    let _ = call.done.try_send(result);
}
