use {
    crate::front::{
        log_store_contact, observe_position, stores::row_edit::RowEdit, CallTimeout, FrontContext,
    },
    pitchhitch_core::{
        serving::{
            ProofRow, RouteKey, RouteSoftware, SoftwareCall, SoftwareTag, StoreEra, StorePosition,
        },
        time::Micros,
    },
    pitchhitch_platform::{
        ReplaceOutcome, RowAddress, RowChange, RowPage, RowTable, RowValue, StoreClient,
        StoreError, StoreRow, TransactOutcome,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::codec::{decode_body, encode_body},
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Delay after a failed call.
const RETRY_DELAY: Micros = Micros::from_millis(500);
/// Minimum interval between two rounds of calls: callers that come back together share a read.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which removals are checked; other calls wake the task.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time over which fronts spread the removal of software without endpoints.
const REMOVAL_JITTER: Micros = Micros::from_secs(60);
/// Key prefix of these rows, one for each route.
const KEY_PREFIX: &str = "streams/";
/// Maximum number of rows in a transaction. The store takes 100 entries, two for each row.
const MAX_ROWS_PER_TRANSACTION: usize = 50;
/// Maximum number of reads after which rows that go on changing are read again later.
const MAX_READS: u32 = 8;
/// Key of the row that says in which era of the store these rows were complete.
const PROOF_KEY: &str = "streams-era";

/// Makes the calls that are due for the rows of the routes: rows are changed together, and one read
/// confirms all of them.
pub(crate) async fn sync_software_rows(front: Rc<FrontContext>) {
    let mut timeout = CallTimeout::default();
    let mut client = StoreClient::new(front.settings.store, timeout.timeout());
    let mut is_unreachable = false;
    let mut position = None;
    let delay = front.spread_delay(REMOVAL_JITTER);
    loop {
        let calls = front.state().stream_software.due_calls(delay, front.now());
        if calls.is_empty() {
            front.software_row_due.wait(CHECK_INTERVAL).await;
            continue;
        }
        client.set_timeout(timeout.timeout());
        let outcome = make_calls(&front, &mut client, &mut position, calls).await;
        timeout.record(&outcome);
        log_store_contact(&front, "streams", &mut is_unreachable, &outcome);
        front.state().is_recording_stuck = outcome.is_err();
        let delay = match outcome {
            Ok(()) => CALL_INTERVAL,
            Err(_) => to_duration(RETRY_DELAY),
        };
        Timer::after(delay).await;
    }
}

/// Applies the rows of the routes in a complete read that was sent at `sent_at`.
pub(crate) fn merge_software_rows(
    front: &FrontContext,
    page: &RowPage,
    sent_at: Micros,
) {
    let mut state = front.state();
    for (software, position) in decode_rows(page) {
        let rows = &mut state.stream_software;
        rows.record_row(&software, position, sent_at);
    }
    let proof_row = page.rows.iter().find(|row| row.key == PROOF_KEY);
    let proof_row = proof_row.and_then(decode_proof);
    let (rows, era) = (&mut state.stream_software, page.position.era);
    rows.finish_read(proof_row, era, sent_at);
    let is_complete = rows.is_complete();
    state.is_recording_stuck = false;
    drop(state);
    log::info!(
        event = "software-rows",
        era = era.0,
        complete_in = proof_row.map_or(0, |row| row.era.0),
        complete = is_complete;
        ""
    );
    front.software_row_due.wake();
}

/// Makes these calls. `position` is that of the last read of what has changed.
async fn make_calls(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
    position: &mut Option<StorePosition>,
    calls: Vec<SoftwareCall>,
) -> Result<(), StoreError> {
    let mut edits = Vec::new();
    let mut is_read_due = false;
    for call in calls {
        match call {
            SoftwareCall::Read(_) => is_read_due = true,
            SoftwareCall::Write { row, expected } => edits.push(RowEdit::write(row, expected)?),
            SoftwareCall::Remove { route, expected } => {
                edits.push(RowEdit::removal(route, expected));
            }
            SoftwareCall::ReadProof => read_proof(front, client).await?,
            SoftwareCall::WriteProof { era, expected } => {
                write_proof(front, client, era, expected).await?;
            }
        }
    }
    for batch in edits.chunks(MAX_ROWS_PER_TRANSACTION) {
        change_rows(front, client, batch).await?;
    }
    if is_read_due {
        let read = read_rows(front, client, position).await;
        if read.as_ref().is_err_and(StoreError::needs_full_read) {
            *position = None;
            return read_rows(front, client, position).await;
        }
        return read;
    }
    Ok(())
}

/// Reads the era in which the rows were complete, and then all rows if this front does not know yet
/// that they are.
async fn read_proof(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
) -> Result<(), StoreError> {
    let sent_at = front.now();
    let address = RowAddress::new(RowTable::Product, PROOF_KEY);
    let read = client.read_row_at(address).await?;
    observe_position(front, "streams", read.position)?;
    let row = read.row.as_ref().and_then(decode_proof);
    let era = read.position.era;
    let is_read_due = {
        let rows = &mut front.state().stream_software;
        rows.record_proof_row(row, era, sent_at)
    };
    if !is_read_due {
        return Ok(());
    }
    let sent_at = front.now();
    let page = client.read_all(RowTable::Product).await?;
    observe_position(front, "streams", page.position)?;
    merge_software_rows(front, &page, sent_at);
    Ok(())
}

/// Records that the rows are complete in this era.
async fn write_proof(
    front: &FrontContext,
    client: &mut StoreClient,
    era: StoreEra,
    expected: Option<StorePosition>,
) -> Result<(), StoreError> {
    let sent_at = front.now();
    let bytes = encode_body(&era).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let address = RowAddress::new(RowTable::Product, PROOF_KEY);
    let outcome = client.replace(address, expected, &bytes).await?;
    let (outcome_name, row) = match outcome {
        ReplaceOutcome::Written(position) => ("written", Some(ProofRow { era, position })),
        ReplaceOutcome::Changed(current) => ("changed", current.as_ref().and_then(decode_proof)),
    };
    // If the store has been restored meanwhile, an older row is read again in the new era.
    let read_era = row.map_or(era, |row| row.position.era);
    let rows = &mut front.state().stream_software;
    rows.record_proof_row(row, read_era, sent_at);
    log::info!(event = "software-complete", era = era.0, outcome = outcome_name; "");
    front.metrics.increment("stream_software", "complete");
    Ok(())
}

/// Changes rows together. If one of them has changed meanwhile, none is written, and all are known as
/// they are now.
async fn change_rows(
    front: &FrontContext,
    client: &mut StoreClient,
    batch: &[RowEdit],
) -> Result<(), StoreError> {
    let sent_at = front.now();
    let changes: Vec<RowChange<'_>> = batch.iter().map(RowEdit::as_change).collect();
    let outcome = client.try_transact(&changes).await?;
    let outcome_name = match &outcome {
        TransactOutcome::Committed(position) => {
            let rows = &mut front.state().stream_software;
            for edit in batch {
                match &edit.written {
                    Some((row, _)) => rows.record_row(row, *position, sent_at),
                    None => rows.record_removed(&edit.route),
                }
            }
            "written"
        }
        TransactOutcome::Conflict(current) => {
            for edit in batch {
                let row = current.iter().find(|row| row.key == edit.key);
                apply_row(front, &edit.route, row, sent_at);
            }
            "changed"
        }
    };
    front.metrics.increment("stream_software", outcome_name);
    log_rows(front, batch, outcome_name, sent_at);
    Ok(())
}

fn log_rows(
    front: &FrontContext,
    batch: &[RowEdit],
    outcome: &str,
    sent_at: Micros,
) {
    let took_ms = front.now().since(sent_at).as_millis();
    for edit in batch {
        let software = front.state().stream_software.software(&edit.route);
        let tags: Vec<String> = software.iter().map(SoftwareTag::to_string).collect();
        log::info!(
            event = "stream-software",
            route = edit.route.to_string().as_str(),
            outcome = outcome,
            software = tags.join(",").as_str(),
            rows = batch.len(),
            took_ms = took_ms;
            ""
        );
    }
}

/// Reads what has changed since the last read, or all rows.
async fn read_rows(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
    position: &mut Option<StorePosition>,
) -> Result<(), StoreError> {
    let Some(mut after) = *position else {
        let sent_at = front.now();
        let page = client.read_all(RowTable::Product).await?;
        observe_position(front, "streams", page.position)?;
        let rows = decode_rows(&page);
        front.state().stream_software.record_all(&rows, sent_at);
        *position = Some(page.position);
        return Ok(());
    };
    let mut changes = Vec::new();
    for _ in 0..MAX_READS {
        let sent_at = front.now();
        let read = client.read_changes(RowTable::Product, after, Duration::ZERO);
        let page = read.await?;
        observe_position(front, "streams", page.position)?;
        after = page.position;
        if page.rows.is_empty() {
            *position = Some(after);
            apply_changes(front, &changes, sent_at);
            front.state().stream_software.record_unchanged(sent_at);
            return Ok(());
        }
        changes.extend(page.rows);
    }
    Ok(())
}

fn apply_changes(
    front: &FrontContext,
    changes: &[StoreRow],
    sent_at: Micros,
) {
    let changes = changes.iter();
    for row in changes.filter(|row| row.key.starts_with(KEY_PREFIX)) {
        let decoded = decode_software(row).map(|software| software.route);
        let is_of = |route: &&RouteKey| row_key(route) == row.key;
        let route = decoded.or_else(|| {
            let state = front.state();
            let mut routes = state.stream_software.known_routes();
            routes.find(is_of).cloned()
        });
        if let Some(route) = route {
            let present = Some(row).filter(|row| row.value != RowValue::Deleted);
            apply_row(front, &route, present, sent_at);
        }
    }
}

/// Applies a route's row. One that another program wrote counts as a row without software, so that it
/// is replaced.
fn apply_row(
    front: &FrontContext,
    route: &RouteKey,
    row: Option<&StoreRow>,
    sent_at: Micros,
) {
    let mut state = front.state();
    let rows = &mut state.stream_software;
    let Some(row) = row else {
        rows.record_missing(route.clone(), sent_at);
        return;
    };
    let decoded = decode_software(row).filter(|software| software.route == *route);
    if decoded.is_none() {
        front.metrics.increment("foreign_rows", "streams");
    }
    let software = decoded.unwrap_or_else(|| RouteSoftware {
        route: route.clone(),
        software: Vec::new(),
    });
    rows.record_row(&software, row.position, sent_at);
}

/// The rows of all routes in a complete read, with their positions.
fn decode_rows(page: &RowPage) -> Vec<(RouteSoftware, StorePosition)> {
    let rows = page.rows.iter();
    let rows = rows.filter(|row| row.key.starts_with(KEY_PREFIX));
    rows.filter_map(|row| Some((decode_software(row)?, row.position)))
        .collect()
}

fn decode_software(row: &StoreRow) -> Option<RouteSoftware> {
    match &row.value {
        RowValue::Bytes(bytes) => decode_body::<RouteSoftware>(bytes).ok(),
        RowValue::Deleted | RowValue::Unreadable => None,
    }
}

/// Decodes the row that says in which era the rows were complete. One that another program wrote says
/// nothing, and is replaced.
fn decode_proof(row: &StoreRow) -> Option<ProofRow> {
    let era = match &row.value {
        RowValue::Bytes(bytes) => decode_body(bytes).unwrap_or_default(),
        RowValue::Unreadable => StoreEra::default(),
        RowValue::Deleted => return None,
    };
    let position = row.position;
    Some(ProofRow { era, position })
}

pub(super) fn row_key(route: &RouteKey) -> String {
    format!("{KEY_PREFIX}{route}")
}
