use {
    crate::front::{
        allows_lapsed, begin_slow_start, expire_lapsed_endpoints, hedge, is_list_reliable,
        log_store_contact, observe_position, probe_rejoined, record_list_answer,
        record_list_failure, record_versions, settle_software, CallTimeout, ForeignRows,
        FrontContext, ReadSchedule, HEDGE_DELAY,
    },
    pitchhitch_core::{
        serving::{EndpointChange, EndpointNotice, ProvenTable, StorePosition, TableChecksum},
        time::Micros,
    },
    pitchhitch_platform::{decode_row, RowPage, RowTable, RowUpdate, StoreClient, StoreError},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Delay before the whole list is read again after a failure. It is short, since this front either
/// has no list, without which it serves nothing, or may have missed changes of it.
const FULL_READ_DELAY: Micros = Micros::from_millis(150);
/// Interval at which rejoining endpoints are probed and outdated state is removed.
const MAINTENANCE_INTERVAL: Micros = Micros::from_millis(400);

/// Keeps the endpoint list up to date.
pub(crate) async fn watch_endpoint_list(front: Rc<FrontContext>) {
    let mut timeout = CallTimeout::default();
    let new_client = || StoreClient::new(front.settings.store, timeout.timeout());
    let mut clients = [new_client(), new_client()];
    let mut foreign_rows = ForeignRows::new("list");
    let mut position: Option<StorePosition> = None;
    let mut last_position: Option<StorePosition> = None;
    let mut is_unreachable = false;
    let mut checksum = TableChecksum::default();
    let mut sent_at = Micros::ZERO;
    loop {
        if position.is_some() {
            let schedule = read_schedule(&front, sent_at, is_unreachable);
            match timeout.retry_delay() {
                Some(delay) => {
                    Timer::after(to_duration(delay)).await;
                }
                None => schedule.wait(&front).await,
            }
        }
        sent_at = front.now();
        let call_timeout = timeout.timeout();
        front.state().list_outages.record_sent(sent_at);
        let read = read_list(&mut clients, call_timeout, position).await;
        timeout.record(&read);
        let read = match read {
            Ok(page) => observe_position(&front, "list", page.position).map(|()| page),
            Err(error) => Err(error),
        };
        let outcome = match read {
            Ok(page) => {
                let previous = last_position.replace(page.position);
                let is_older = previous.is_some_and(|at| at.is_newer_than(page.position));
                record_list_answer(&front, is_older);
                let is_full_read = position.replace(page.position).is_none();
                if is_full_read {
                    checksum.clear();
                }
                update_checksum(&mut checksum, &page);
                apply_page(&front, page, is_full_read, &mut foreign_rows);
                expire_lapsed_endpoints(&front);
                let reported_at = front.state().reported_list_at.take();
                if reported_at.is_some() && !is_full_read {
                    position = None;
                }
                let table = ProvenTable::Endpoints;
                let readers = &mut front.state().readers;
                readers.record_read(table, checksum.value(), sent_at, front.now());
                front.greeting_due.wake();
                Ok(())
            }
            Err(error) => {
                record_list_failure(&front, &error, call_timeout, sent_at);
                Err(error)
            }
        };
        log_store_contact(&front, "list", &mut is_unreachable, &outcome);
        if outcome.is_err_and(|error| error.needs_full_read()) {
            position = None;
        }
        if position.is_none() {
            Timer::after(to_duration(FULL_READ_DELAY)).await;
        }
    }
}

/// Reads the whole list, or its changes since a position.
async fn read_list(
    [first, second]: &mut [StoreClient; 2],
    timeout: Duration,
    position: Option<StorePosition>,
) -> Result<RowPage, StoreError> {
    first.set_timeout(timeout);
    // Both end together.
    second.set_timeout(timeout.saturating_sub(HEDGE_DELAY));
    hedge(
        read_once(first, position),
        HEDGE_DELAY,
        read_once(second, position),
    )
    .await
}

async fn read_once(
    client: &mut StoreClient,
    position: Option<StorePosition>,
) -> Result<RowPage, StoreError> {
    let table = RowTable::Endpoints;
    match position {
        Some(after) => client.read_changes(table, after, Duration::ZERO).await,
        None => client.read_all(table).await,
    }
}

fn read_schedule(
    front: &FrontContext,
    last_sent_at: Micros,
    is_unreachable: bool,
) -> ReadSchedule {
    let interval = front.settings.list_poll_interval();
    ReadSchedule {
        table: ProvenTable::Endpoints,
        interval: Some(interval),
        max_interval: interval,
        max_age: front.settings.max_list_age(),
        last_sent_at,
        is_unreachable,
        needs_own_reads: allows_lapsed(&front.state()),
    }
}

/// Probes rejoining endpoints and removes outdated state.
pub(crate) async fn maintain_endpoints(front: Rc<FrontContext>) {
    loop {
        expire_lapsed_endpoints(&front);
        settle_software(&front);
        probe_rejoined(&front);
        prune_state(&front);
        front.sleep_coalesced(MAINTENANCE_INTERVAL).await;
    }
}

/// Updates the checksum with the relevant fields of each entry. Most updates of an entry are
/// heartbeats, which do not count.
fn update_checksum(
    checksum: &mut TableChecksum,
    page: &RowPage,
) {
    for row in &page.rows {
        match decode_row(RowTable::Endpoints, row.clone()) {
            Ok(RowUpdate::Endpoint(notice)) => checksum.set(&row.key, &routing_bytes(&notice)),
            Ok(RowUpdate::EndpointRemoved(id)) => checksum.remove(&id),
            _ => checksum.remove(&row.key),
        }
    }
}

/// Serialises the fields that decide whether and where an endpoint receives requests, and which.
fn routing_bytes(notice: &EndpointNotice) -> Vec<u8> {
    let address = notice.address.map_or(String::new(), |a| a.to_string());
    let text = format!(
        "{} {address} {} {} {} {:?} {}",
        notice.service,
        notice.domain,
        notice.slots,
        notice.is_leaving,
        notice.born,
        notice.software
    );
    text.into_bytes()
}

fn apply_page(
    front: &FrontContext,
    page: RowPage,
    is_full_read: bool,
    foreign_rows: &mut ForeignRows,
) {
    let mut listed: Vec<EndpointNotice> = Vec::new();
    let mut changes = Vec::new();
    let had_list = front.state().has_list;
    let is_reliable = is_list_reliable(&front.state(), front.now());
    let position = page.position;
    for row in page.rows {
        let key = row.key.clone();
        let update = match decode_row(RowTable::Endpoints, row) {
            Ok(update) => update,
            Err(error) => {
                foreign_rows.record(front, &key, &error);
                // The row exists but does not name an endpoint, so this is not data loss of the
                // store.
                changes.extend(front.state().registry.mark_unlisted(&key, true));
                continue;
            }
        };
        foreign_rows.remove(&key);
        match update {
            RowUpdate::Endpoint(notice) if is_full_read => listed.push(notice),
            RowUpdate::Endpoint(notice) => {
                let change = front.state().registry.apply(&notice);
                let is_new = matches!(
                    change,
                    Some(EndpointChange::Serves(_) | EndpointChange::Restarts(_))
                );
                update_slow_start(front, &notice, is_new);
                changes.extend(change);
            }
            RowUpdate::EndpointRemoved(id) => {
                changes.extend(front.state().registry.mark_unlisted(&id, is_reliable));
            }
            _ => {}
        }
    }
    if is_full_read {
        log::info!(
            event = "list-read",
            endpoints = listed.len(),
            era = position.era.0,
            version = position.version,
            steady = is_reliable;
            ""
        );
        let known: HashSet<String> = listed
            .iter()
            .filter(|notice| front.state().registry.key(&notice.id).is_some())
            .map(|notice| notice.id.clone())
            .collect();
        changes.extend(front.state().registry.apply_all(&listed, is_reliable));
        for notice in &listed {
            update_slow_start(front, notice, had_list && !known.contains(&notice.id));
        }
        let mut state = front.state();
        if !std::mem::replace(&mut state.has_list, true) {
            // The front is not ready until suspects have been reported, which the first greeting
            // requests.
            state.greetings.request_all();
            front.greeting_due.wake();
        }
    }
    changes.extend(front.state().registry.retire_superseded());
    record_versions(front);
    handle_endpoint_changes(front, &changes);
}

/// Updates the slow start of an endpoint. A new endpoint without a remaining time has just started.
fn update_slow_start(
    front: &FrontContext,
    notice: &EndpointNotice,
    is_new: bool,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let time_left = notice.slow_ms.map(Micros::from_millis);
    let Some(key) = state
        .registry
        .key(&notice.id)
        .filter(|_| is_new || time_left.is_some())
    else {
        return;
    };
    begin_slow_start(state, key, time_left, now);
}

pub(crate) fn handle_endpoint_changes(
    front: &FrontContext,
    changes: &[EndpointChange],
) {
    for change in changes {
        let (status, id) = match change {
            EndpointChange::Serves(id) => ("serves", id),
            EndpointChange::Leaves(id) => ("leaves", id),
            EndpointChange::Lapses(id) => ("lapses", id),
            EndpointChange::Away(id) => ("away", id),
            EndpointChange::Restarts(id) => ("restarted", id),
        };
        let mut state = front.state();
        let key = state.registry.key(id);
        let entry = key.and_then(|key| state.registry.get(key));
        let born = entry.and_then(|entry| entry.incarnation.born).unwrap_or(0);
        let address = entry.map(|entry| entry.address);
        log::info!(event = "endpoint", endpoint = id.as_str(), standing = status, born = born; "");
        front.metrics.increment("endpoint_changes", status);
        if let Some(address) = address.filter(|_| status == "restarted") {
            state.fetch_completion.record_restart(address, front.now());
        }
        if let Some(key) = key.filter(|_| status == "restarted") {
            begin_slow_start(&mut state, key, None, front.now());
        }
        if let Some(address) = address.filter(|_| status == "leaves") {
            let to = SocketAddr::new(address.ip(), front.settings.agent_port);
            state.greetings.request(to);
            front.greeting_due.wake();
        }
        // Connections to an earlier incarnation are no longer usable.
        let is_closed = matches!(status, "leaves" | "restarted");
        if let Some(key) = key.filter(|_| is_closed) {
            state.pool.close_all(key);
        }
    }
}

/// Removes endpoints, connections and other state that is no longer needed.
fn prune_state(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    state.registry.prune(now);
    state.suspects.prune(now);
    let registry = &state.registry;
    state
        .pool
        .remove_expired(now, |key| registry.get(key).is_some());
    state
        .exit_probes
        .retain(|key, _| registry.get(*key).is_some());
}
