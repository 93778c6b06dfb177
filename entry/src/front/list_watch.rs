use {
    super::{
        begin_slow_start, note_contact, note_position, probe_rejoined, CallTimeout, ForeignRows,
        FrontContext, ReadWait,
    },
    pitchhitch_core::{
        serving::{
            EndpointChange, EndpointNotice, ProvenTable, StorePosition, TableChecksum,
            REWRITE_DELAY,
        },
        time::Micros,
    },
    pitchhitch_platform::{decode_row, RowPage, RowTable, RowUpdate, StoreClient},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Pause before the list is read whole: without it nothing can be served, and what has
/// changed is not known.
const FIRST_LOOK_PAUSE: Micros = Micros::from_millis(150);
/// How often endpoints are asked that came back.
const TEND_PAUSE: Micros = Micros::from_millis(400);
/// A look that takes longer shows a store that is slow.
const SLOW_LOOK: Micros = Micros::from_millis(400);

/// Keeps the list of endpoints fresh.
pub(crate) async fn watch_list(front: Rc<FrontContext>) {
    let mut limit = CallTimeout::default();
    let mut client = StoreClient::new(front.settings.store, limit.timeout());
    let mut foreign = ForeignRows::new("list");
    let mut seen: Option<StorePosition> = None;
    let mut is_lost = false;
    let mut trouble_at: Option<Micros> = None;
    let mut mark = TableChecksum::default();
    let mut sent_at = Micros::ZERO;
    loop {
        if seen.is_some() {
            let pause = front.settings.list_pause();
            let wait = ReadWait {
                table: ProvenTable::Endpoints,
                usual: Some(pause),
                bound: pause,
                last: sent_at,
                is_lost,
                is_troubled: trouble_at.is_some(),
            };
            wait.wait(&front).await;
        }
        sent_at = front.now();
        client.set_timeout(limit.timeout());
        let read = match seen {
            Some(after) => {
                client
                    .read_changes(RowTable::Endpoints, after, Duration::ZERO)
                    .await
            }
            None => client.read_all(RowTable::Endpoints).await,
        };
        limit.record(&read);
        let now = front.now();
        if read.is_err() || now.since(sent_at) > SLOW_LOOK {
            trouble_at = Some(now);
        }
        let noted = match &read {
            Ok(page) => note_position(&front, "list", page.position),
            Err(_) => Ok(()),
        };
        let doubted = front.state().eras.uncertain_since();
        trouble_at = trouble_at.max(doubted.filter(|at| now.since(*at) <= REWRITE_DELAY));
        let is_steady = trouble_at.is_none_or(|at| now.since(at) > REWRITE_DELAY);
        let outcome = match noted.and(read) {
            Ok(page) => {
                let is_whole = seen.replace(page.position).is_none();
                if is_whole {
                    mark.clear();
                }
                note_rows(&mut mark, &page);
                take_page(&front, page, is_whole, is_steady, &mut foreign);
                let table = ProvenTable::Endpoints;
                let readers = &mut front.state().readers;
                readers.note_read(table, mark.value(), sent_at, now);
                front.greeting_due.wake();
                Ok(())
            }
            Err(error) => Err(error),
        };
        note_contact(&front, "list", &mut is_lost, &outcome);
        match outcome {
            Ok(()) if is_steady && trouble_at.is_some() => {
                trouble_at = None;
                let changes = front.state().book.expire_lapsed();
                log_changes(&front, &changes);
            }
            Ok(()) => {}
            Err(error) if error.needs_full_read() => seen = None,
            Err(_) => {}
        }
        if seen.is_none() {
            Timer::after(to_duration(FIRST_LOOK_PAUSE)).await;
        }
    }
}

/// Asks endpoints that came back, and forgets those that are over.
pub(crate) async fn tend_endpoints(front: Rc<FrontContext>) {
    loop {
        probe_rejoined(&front);
        tidy(&front);
        front.rest(TEND_PAUSE).await;
    }
}

/// Notes what of each entry matters here; most of what changes is its heartbeat.
fn note_rows(
    mark: &mut TableChecksum,
    page: &RowPage,
) {
    for row in &page.rows {
        match decode_row(RowTable::Endpoints, row.clone()) {
            Ok(RowUpdate::Endpoint(notice)) => mark.set(&row.key, &standing_bytes(&notice)),
            Ok(RowUpdate::EndpointRemoved(id)) => mark.remove(&id),
            _ => mark.remove(&row.key),
        }
    }
}

/// What decides whether and where an endpoint gets requests, as bytes.
fn standing_bytes(notice: &EndpointNotice) -> Vec<u8> {
    let address = notice.address.map_or(String::new(), |a| a.to_string());
    let text = format!(
        "{} {address} {} {} {} {:?}",
        notice.service, notice.domain, notice.slots, notice.is_leaving, notice.born
    );
    text.into_bytes()
}

fn take_page(
    front: &FrontContext,
    page: RowPage,
    is_whole: bool,
    is_steady: bool,
    foreign: &mut ForeignRows,
) {
    let mut listed: Vec<EndpointNotice> = Vec::new();
    let mut changes = Vec::new();
    let had_list = front.state().has_list;
    let position = page.position;
    for row in page.rows {
        let key = row.key.clone();
        let news = match decode_row(RowTable::Endpoints, row) {
            Ok(news) => news,
            Err(fault) => {
                foreign.note(front, &key, &fault);
                // It is there and names nobody: that is no lapse of the store's.
                changes.extend(front.state().book.mark_unlisted(&key, true));
                continue;
            }
        };
        foreign.is_over(&key);
        match news {
            RowUpdate::Endpoint(notice) if is_whole => listed.push(notice),
            RowUpdate::Endpoint(notice) => {
                let change = front.state().book.apply(&notice);
                let is_new = matches!(
                    change,
                    Some(EndpointChange::Serves(_) | EndpointChange::Restarts(_))
                );
                note_slow_start(front, &notice, is_new);
                changes.extend(change);
            }
            RowUpdate::EndpointRemoved(id) => {
                changes.extend(front.state().book.mark_unlisted(&id, is_steady));
            }
            _ => {}
        }
    }
    if is_whole {
        log::info!(
            event = "list-read",
            endpoints = listed.len(),
            era = position.era.0,
            version = position.version,
            steady = is_steady;
            ""
        );
        let known: HashSet<String> = listed
            .iter()
            .filter(|notice| front.state().book.key(&notice.id).is_some())
            .map(|notice| notice.id.clone())
            .collect();
        changes.extend(front.state().book.apply_all(&listed, is_steady));
        for notice in &listed {
            note_slow_start(front, notice, had_list && !known.contains(&notice.id));
        }
        let mut state = front.state();
        if !std::mem::replace(&mut state.has_list, true) {
            // It serves only once it is told of suspects, which the first greeting asks for.
            state.greetings.want_all();
            front.greeting_due.wake();
        }
    }
    changes.extend(front.state().book.retire_superseded());
    log_changes(front, &changes);
}

/// Takes how an endpoint stands with its slow start: for one that is new and does not say, it has
/// just begun.
fn note_slow_start(
    front: &FrontContext,
    notice: &EndpointNotice,
    is_new: bool,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let told = notice.slow_ms.map(Micros::from_millis);
    let Some(key) = state
        .book
        .key(&notice.id)
        .filter(|_| is_new || told.is_some())
    else {
        return;
    };
    begin_slow_start(state, key, told, now);
}

pub(super) fn log_changes(
    front: &FrontContext,
    changes: &[EndpointChange],
) {
    for change in changes {
        let (what, id) = match change {
            EndpointChange::Serves(id) => ("serves", id),
            EndpointChange::Leaves(id) => ("leaves", id),
            EndpointChange::Lapses(id) => ("lapses", id),
            EndpointChange::Away(id) => ("away", id),
            EndpointChange::Restarts(id) => ("restarted", id),
        };
        let mut state = front.state();
        let key = state.book.key(id);
        let entry = key.and_then(|key| state.book.get(key));
        let born = entry.and_then(|entry| entry.incarnation.born).unwrap_or(0);
        let address = entry.map(|entry| entry.address);
        log::info!(event = "endpoint", endpoint = id.as_str(), standing = what, born = born; "");
        front.metrics.count("endpoint_changes", what);
        if let Some(address) = address.filter(|_| what == "restarted") {
            state.reads.record_restart(address, front.now());
        }
        if let Some(key) = key.filter(|_| what == "restarted") {
            begin_slow_start(&mut state, key, None, front.now());
        }
        if let Some(address) = address.filter(|_| what == "leaves") {
            let to = SocketAddr::new(address.ip(), front.settings.beside_port);
            state.greetings.want(to);
            front.greeting_due.wake();
        }
        // Connections of an earlier life lead nowhere.
        let is_closed = matches!(what, "leaves" | "restarted");
        if let Some(key) = key.filter(|_| is_closed) {
            state.pool.close_all(key);
        }
    }
}

/// Forgets endpoints and connections that are of no use any more.
fn tidy(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    state.book.prune(now);
    state.suspects.prune(now);
    let book = &state.book;
    state
        .pool
        .remove_expired(now, |key| book.get(key).is_some());
    state.ends.retain(|key, _| book.get(*key).is_some());
}
