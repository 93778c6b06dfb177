use {
    super::{
        are_held, note_contact, note_position, own_tier, take_evacuations, CallTimeout,
        ForeignRows, FrontContext, ReadWait,
    },
    futures_lite::future::or,
    pitchhitch_core::{
        serving::{
            ProvenTable, ReaderTier, ServingConfig, StoreClock, StorePosition, TableChecksum,
        },
        time::Micros,
    },
    pitchhitch_platform::{
        decode_config, decode_row, PublishedVersion, RowError, RowPage, RowTable, RowUpdate,
        RowValue, StoreClient, StoreError, StoreRow, CONFIG_KEY,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Pause after a call that failed.
const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// Only ends one wait for the end of an era, and begins the next.
const ERA_WAIT: Duration = Duration::from_secs(60);

/// Keeps the configuration fresh.
pub(crate) async fn watch_operator(front: Rc<FrontContext>) {
    let mut limit = CallTimeout::default();
    let mut client = StoreClient::new(front.settings.store, limit.timeout());
    let mut foreign = ForeignRows::new("operator");
    let mut seen: Option<StorePosition> = None;
    let mut mark = TableChecksum::default();
    let mut store_clock = StoreClock::default();
    let mut is_lost = false;
    let mut sent_at = Micros::ZERO;
    loop {
        if seen.is_some() || is_lost {
            read_wait(&front, sent_at, is_lost).wait(&front).await;
        }
        sent_at = front.now();
        client.set_timeout(limit.timeout());
        let hold = limit.poll_wait(to_duration(config_hold(&front, sent_at)));
        let read = read_operator(&front, &mut client, seen, hold).await;
        limit.record(&read);
        let outcome = match read {
            Ok(page) => note_position(&front, "operator", page.position).map(|()| {
                if seen.replace(page.position).is_none() {
                    mark.clear();
                    front.state().evacuations.begin_full_read();
                }
                // A question that was held at the store proves what was in force when it answered.
                let proven_at =
                    store_clock.earliest_answer_time(sent_at, page.store_ms, front.now());
                take_rows(&front, page, proven_at, &mut foreign, &mut mark);
            }),
            Err(error) => {
                store_clock.reset();
                Err(error)
            }
        };
        note_contact(&front, "operator", &mut is_lost, &outcome);
        match outcome {
            Ok(()) => {}
            Err(error) => {
                if error.needs_full_read() {
                    seen = None;
                }
                Timer::after(to_duration(RETRY_PAUSE)).await;
            }
        }
    }
}

fn read_wait(
    front: &FrontContext,
    last: Micros,
    is_lost: bool,
) -> ReadWait {
    let bound = front.settings.change_wait();
    let is_held = is_lost || are_held(&front.state());
    ReadWait {
        table: ProvenTable::Operator,
        usual: (!is_held).then_some(bound),
        bound,
        last,
        is_lost,
        is_troubled: false,
    }
}

/// For how long the next question may be held at the store: one of a front that others tell, or
/// that others go by, is to answer at once.
fn config_hold(
    front: &FrontContext,
    now: Micros,
) -> Micros {
    let state = front.state();
    let tier = own_tier(front, &state, ProvenTable::Operator);
    match tier == ReaderTier::First && are_held(&state) {
        true => state.config_hold(front.settings.change_wait(), now),
        false => Micros::ZERO,
    }
}

/// Reads all that the operator wrote, or waits for what changed since.
async fn read_operator(
    front: &FrontContext,
    client: &mut StoreClient,
    seen: Option<StorePosition>,
    hold: Duration,
) -> Result<RowPage, StoreError> {
    let Some(after) = seen else {
        return client.read_all(RowTable::Operator).await;
    };
    let changes = client.read_changes(RowTable::Operator, after, hold);
    let other_era = async {
        while !front.era_over.wait(ERA_WAIT).await {}
        Err(StoreError::EraChanged)
    };
    or(changes, other_era).await
}

fn take_rows(
    front: &FrontContext,
    page: RowPage,
    proven_at: Micros,
    foreign: &mut ForeignRows,
    mark: &mut TableChecksum,
) {
    for row in page.rows {
        let key = row.key.clone();
        match &row.value {
            RowValue::Bytes(bytes) => mark.set(&key, bytes),
            RowValue::Unreadable => mark.set(&key, b""),
            RowValue::Deleted => mark.remove(&key),
        }
        match take_operator_row(front, row) {
            Ok(()) => foreign.is_over(&key),
            Err(fault) => foreign.note(front, &key, &fault),
        }
    }
    let settled = {
        let mut state = front.state();
        match state.eras.proves(proven_at) {
            true => state.evacuations.finish_full_read(),
            false => Vec::new(),
        }
    };
    take_evacuations(front, &settled, "row");
    // A configuration that cannot be read may take keys away.
    if !foreign.has(CONFIG_KEY) {
        let now = front.now();
        front.state().note_config_read(mark.value(), proven_at, now);
        front.greeting_due.wake();
    }
}

fn take_operator_row(
    front: &FrontContext,
    row: StoreRow,
) -> Result<(), RowError> {
    match decode_row(RowTable::Operator, row)? {
        RowUpdate::Config(text) => {
            let config = decode_config(&text)?;
            take_config(front, config, text, "row");
        }
        RowUpdate::Weights(named) => name_weights(front, &named),
        RowUpdate::Evacuation {
            domain,
            is_requested,
        } => {
            let change = front.state().evacuations.set(&domain, is_requested);
            take_evacuations(front, change.as_slice(), "row");
        }
        RowUpdate::Other(key) => {
            log::warn!(event = "operator-row", key = key.as_str(), used = false; "");
        }
        RowUpdate::Endpoint(_) | RowUpdate::EndpointRemoved(_) => {}
    }
    Ok(())
}

fn name_weights(
    front: &FrontContext,
    named: &PublishedVersion,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let not_yet = state.trust.proven_at();
    let planner = &mut state.planner;
    let is_news = planner.publish(&named.model, named.version, not_yet, now);
    // What was known before, by whomever, did not show it yet.
    if let Some(age) = state.trust.age(now).filter(|_| is_news) {
        planner.record_age(&named.model, named.version, age, now);
    }
    log::info!(
        event = "weights-named",
        model = named.model.as_str(),
        version = named.version,
        source = "row";
        ""
    );
}

/// A configuration never goes back in one life of the process.
pub(super) fn take_config(
    front: &FrontContext,
    config: ServingConfig,
    text: Vec<u8>,
    source: &str,
) {
    let mut state = front.state();
    let before = state.config.as_ref().map_or(0, |config| config.version);
    let is_news = state.config.is_none() || config.version > before;
    log::info!(
        event = "config",
        version = config.version,
        before = before,
        taken = is_news,
        source = source,
        routes = config.routes.len(),
        organisations = config.organisations.len(),
        keys = config.keys.len(),
        stores = config.stores.len();
        ""
    );
    if is_news {
        state.memory.set_stores(&config.stores);
        state.config = Some(Rc::new(config));
        state.config_text = text;
    }
}
