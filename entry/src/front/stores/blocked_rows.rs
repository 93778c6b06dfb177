use {
    crate::front::{
        log_store_contact, merge_software_rows, observe_position, CallTimeout, FrontContext,
    },
    pitchhitch_core::{serving::SuspectReport, time::Micros},
    pitchhitch_platform::{RowPage, RowTable, RowValue, StoreClient, StoreError},
    pitchhitch_process::{to_duration, unix_seconds},
    pitchhitch_wire::codec::{decode_body, encode_body},
    serde::{Deserialize, Serialize},
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Delay after a failed call.
const RETRY_DELAY: Micros = Micros::from_millis(250);
/// Maximum wait for a wake-up; afterwards the task just waits again.
const WRITE_WAIT: Duration = Duration::from_secs(60);
/// Key prefix of these rows, one per front.
const KEY_PREFIX: &str = "held/";
/// Maximum number of requests in a row, at some 100 bytes each; a row holds 64 kB.
const MAX_ROW_SUSPECTS: usize = 200;

/// Requests that a front blocks, stored in case all boxes lose power at once.
#[derive(Debug, Serialize, Deserialize)]
struct BlockedRow {
    /// Time of the write, in seconds since 1970.
    wall_secs: u64,
    /// Requests, with their ages at the time of the write.
    suspects: Vec<SuspectReport>,
}

/// Reads the blocked requests of all fronts, then writes every change of those that this front
/// blocks.
pub(crate) async fn sync_blocked_rows(front: Rc<FrontContext>) {
    let mut timeout = CallTimeout::default();
    let mut client = StoreClient::new(front.settings.store, timeout.timeout());
    let mut is_unreachable = false;
    let mut has_own_row = loop {
        client.set_timeout(timeout.timeout());
        let sent_at = front.now();
        let read = client.read_all(RowTable::Product).await;
        timeout.record(&read);
        let observed =
            read.and_then(|page| observe_position(&front, "held", page.position).map(|()| page));
        if let Ok(page) = observed {
            merge_software_rows(&front, &page, sent_at);
            break merge_rows(&front, page);
        }
        Timer::after(to_duration(RETRY_DELAY)).await;
    };
    front.state().has_blocked_rows = true;
    loop {
        if !front.blocked_row_due.wait(WRITE_WAIT).await {
            continue;
        }
        let is_rewrite = std::mem::take(&mut front.state().needs_blocked_row_rewrite);
        // There is nothing to rewrite if this front has no row and blocks no requests.
        if is_rewrite && !has_own_row && !has_blocked_requests(&front) {
            continue;
        }
        has_own_row = true;
        loop {
            let written = write_row(&front, &mut client, &mut timeout).await;
            log_store_contact(&front, "held", &mut is_unreachable, &written);
            if written.is_ok() {
                break;
            }
            Timer::after(to_duration(RETRY_DELAY)).await;
        }
    }
}

/// Merges the rows. Returns whether one belongs to this front.
fn merge_rows(
    front: &FrontContext,
    page: RowPage,
) -> bool {
    let now = front.now();
    let mut state = front.state();
    for row in page
        .rows
        .iter()
        .filter(|row| row.key.starts_with(KEY_PREFIX))
    {
        let RowValue::Bytes(bytes) = &row.value else {
            continue;
        };
        // A row of another program contains no request.
        let Ok(blocked) = decode_body::<BlockedRow>(bytes) else {
            front.metrics.increment("foreign_rows", "held");
            continue;
        };
        let age = Micros::from_secs(unix_seconds().saturating_sub(blocked.wall_secs));
        for report in &blocked.suspects {
            state.suspects.merge(&add_age(report, age), now);
        }
    }
    let blocked = state.suspects.blocked(now).len();
    log::info!(event = "held-read", held = blocked; "");
    let own = own_key(front);
    page.rows.iter().any(|row| row.key == own)
}

fn has_blocked_requests(front: &FrontContext) -> bool {
    !front.state().suspects.blocked(front.now()).is_empty()
}

fn own_key(front: &FrontContext) -> String {
    format!("{KEY_PREFIX}{}", front.settings.box_id)
}

/// Makes a report older by `age`.
fn add_age(
    report: &SuspectReport,
    age: Micros,
) -> SuspectReport {
    let mut report = report.clone();
    for crash in &mut report.crashes {
        crash.sent = crash.sent + age;
        crash.ended = crash.ended + age;
    }
    report.answered = report.answered.map(|answered| answered + age);
    report
}

async fn write_row(
    front: &FrontContext,
    client: &mut StoreClient,
    timeout: &mut CallTimeout,
) -> Result<(), StoreError> {
    let now = front.now();
    let suspects = {
        let state = front.state();
        let mut blocked = state.suspects.reports(now);
        blocked.retain(|report| state.suspects.is_blocked(report.key, now));
        blocked.truncate(MAX_ROW_SUSPECTS);
        blocked
    };
    let count = suspects.len();
    let row = BlockedRow {
        wall_secs: unix_seconds(),
        suspects,
    };
    let bytes = encode_body(&row).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    client.set_timeout(timeout.timeout());
    let written = client.put(&own_key(front), &bytes).await;
    timeout.record(&written);
    written?;
    log::info!(event = "held-written", outcome = "done", held = count; "");
    Ok(())
}
