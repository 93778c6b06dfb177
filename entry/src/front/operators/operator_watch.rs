use {
    crate::front::{
        apply_evacuations, hedge, log_rollout_order, log_store_contact, observe_position, own_tier,
        uses_long_polls, CallTimeout, ForeignRows, FrontContext, FrontState, ReadSchedule,
        HEDGE_DELAY,
    },
    futures_lite::future::{or, pending},
    pitchhitch_core::{
        serving::{
            ProvenTable, ReaderTier, ServingConfig, StoreClock, StorePosition, TableChecksum,
        },
        time::Micros,
    },
    pitchhitch_platform::{
        decode_config, decode_row, rollout_service, PublishedVersion, RowError, RowPage, RowTable,
        RowUpdate, RowValue, StoreClient, StoreError, StoreRow, CONFIG_KEY,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Delay after a failed call.
const RETRY_DELAY: Micros = Micros::from_millis(150);
/// Maximum wait for an era change; afterwards the task just waits again.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Keeps the configuration up to date.
pub(crate) async fn watch_operator(front: Rc<FrontContext>) {
    let mut timeout = CallTimeout::default();
    let new_client = || StoreClient::new(front.settings.store, timeout.timeout());
    let mut clients = [new_client(), new_client()];
    let mut foreign_rows = ForeignRows::new("operator");
    let mut position: Option<StorePosition> = None;
    let mut checksum = TableChecksum::default();
    let mut store_clock = StoreClock::default();
    let mut is_unreachable = false;
    let mut sent_at = Micros::ZERO;
    loop {
        if position.is_some() || is_unreachable {
            read_schedule(&front, sent_at, is_unreachable)
                .wait(&front)
                .await;
        }
        sent_at = front.now();
        let call_timeout = timeout.timeout();
        let wait = timeout.poll_wait(to_duration(poll_wait(&front, sent_at)));
        let read = read_operator(&front, &mut clients, call_timeout, position, wait).await;
        timeout.record(&read);
        let outcome = match read {
            Ok(page) => observe_position(&front, "operator", page.position).map(|()| {
                if position.replace(page.position).is_none() {
                    checksum.clear();
                    let mut state = front.state();
                    state.evacuations.begin_full_read();
                    state.rollouts.begin_full_read();
                }
                // The response of a long poll proves which configuration was in force when the
                // store answered.
                let proven_at =
                    store_clock.earliest_response_time(sent_at, page.store_ms, front.now());
                apply_rows(&front, page, proven_at, &mut foreign_rows, &mut checksum);
            }),
            Err(error) => {
                store_clock.reset();
                Err(error)
            }
        };
        log_store_contact(&front, "operator", &mut is_unreachable, &outcome);
        match outcome {
            Ok(()) => {}
            Err(error) => {
                if error.needs_full_read() {
                    position = None;
                }
                Timer::after(to_duration(RETRY_DELAY)).await;
            }
        }
    }
}

fn read_schedule(
    front: &FrontContext,
    last_sent_at: Micros,
    is_unreachable: bool,
) -> ReadSchedule {
    let max_interval = front.settings.config_poll_wait();
    let reads_continuously = is_unreachable || uses_long_polls(&front.state());
    ReadSchedule {
        table: ProvenTable::Operator,
        interval: (!reads_continuously).then_some(max_interval),
        max_interval,
        max_age: front.settings.key_limit,
        last_sent_at,
        is_unreachable,
        needs_own_reads: false,
    }
}

/// Duration of the next long poll. A front that relies on the reads of others, or that others rely
/// on, requests an immediate response.
fn poll_wait(
    front: &FrontContext,
    now: Micros,
) -> Micros {
    let state = front.state();
    let tier = own_tier(front, &state, ProvenTable::Operator);
    match tier == ReaderTier::First && uses_long_polls(&state) {
        true => state.next_poll_wait(front.settings.config_poll_wait(), now),
        false => Micros::ZERO,
    }
}

/// Reads all rows of the operator, or waits for changes after a position.
async fn read_operator(
    front: &FrontContext,
    [first, second]: &mut [StoreClient; 2],
    timeout: Duration,
    position: Option<StorePosition>,
    wait: Duration,
) -> Result<RowPage, StoreError> {
    first.set_timeout(timeout);
    // Both end together.
    second.set_timeout(timeout.saturating_sub(HEDGE_DELAY));
    let changes = hedge(
        read_once(first, position, wait),
        wait + HEDGE_DELAY,
        read_once(second, position, Duration::ZERO),
    );
    let era_change = async {
        if position.is_none() {
            return pending().await;
        }
        while !front.era_changed.wait(ERA_CHECK_INTERVAL).await {}
        Err(StoreError::EraChanged)
    };
    or(changes, era_change).await
}

async fn read_once(
    client: &mut StoreClient,
    position: Option<StorePosition>,
    wait: Duration,
) -> Result<RowPage, StoreError> {
    let table = RowTable::Operator;
    match position {
        Some(after) => client.read_changes(table, after, wait).await,
        None => client.read_all(table).await,
    }
}

fn apply_rows(
    front: &FrontContext,
    page: RowPage,
    proven_at: Micros,
    foreign_rows: &mut ForeignRows,
    checksum: &mut TableChecksum,
) {
    for row in page.rows {
        let key = row.key.clone();
        match &row.value {
            RowValue::Bytes(bytes) => checksum.set(&key, bytes),
            RowValue::Unreadable => checksum.set(&key, b""),
            RowValue::Deleted => checksum.remove(&key),
        }
        match apply_operator_row(front, row) {
            Ok(()) => foreign_rows.remove(&key),
            Err(error) => {
                if let Some(service) = rollout_service(RowTable::Operator, &key) {
                    front.state().rollouts.confirm_order(service);
                }
                foreign_rows.record(front, &key, &error);
            }
        }
    }
    let (changes, withdrawn) = {
        let mut state = front.state();
        match state.eras.proves(proven_at) {
            true => {
                state.rollouts.sightings.settle(proven_at);
                let changes = state.evacuations.finish_full_read();
                (changes, state.rollouts.finish_full_read())
            }
            false => (Vec::new(), Vec::new()),
        }
    };
    apply_evacuations(front, &changes, "row");
    for service in &withdrawn {
        log_rollout_order(front, service, "withdrawn");
    }
    // An unreadable configuration may revoke keys, so it does not renew their freshness.
    if !foreign_rows.contains(CONFIG_KEY) {
        let now = front.now();
        front
            .state()
            .record_config_read(checksum.value(), proven_at, now);
        front.greeting_due.wake();
    }
}

fn apply_operator_row(
    front: &FrontContext,
    row: StoreRow,
) -> Result<(), RowError> {
    match decode_row(RowTable::Operator, row)? {
        RowUpdate::Config(text) => {
            let config = decode_config(&text)?;
            update_config(front, config, text, "row");
        }
        RowUpdate::Weights(weights) => publish_weights(front, &weights),
        RowUpdate::Evacuation {
            domain,
            is_requested,
        } => {
            let change = front.state().evacuations.set(&domain, is_requested);
            apply_evacuations(front, change.as_slice(), "row");
        }
        RowUpdate::Rollout(order) => {
            let service = order.service.clone();
            if front.state().rollouts.set_order(order) {
                log_rollout_order(front, &service, "ordered");
            }
        }
        RowUpdate::RolloutRemoved(service) => {
            if front.state().rollouts.withdraw_order(&service) {
                log_rollout_order(front, &service, "withdrawn");
            }
        }
        RowUpdate::Other(key) => {
            log::warn!(event = "operator-row", key = key.as_str(), used = false; "");
        }
        RowUpdate::Endpoint(_) | RowUpdate::EndpointRemoved(_) => {}
    }
    Ok(())
}

fn publish_weights(
    front: &FrontContext,
    weights: &PublishedVersion,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let last_absent_at = state.key_freshness.proven_at();
    let planner = &mut state.planner;
    let is_newer = planner.publish(&weights.model, weights.version, last_absent_at, now);
    // The configuration known so far, from any source, did not contain this version: its age bounds
    // that of the publication.
    if let Some(age) = state.key_freshness.age(now).filter(|_| is_newer) {
        planner.record_age(&weights.model, weights.version, age, now);
    }
    log::info!(
        event = "weights-named",
        model = weights.model.as_str(),
        version = weights.version,
        source = "row";
        ""
    );
}

/// Applies a configuration. Its version never decreases within one incarnation of the process.
pub(crate) fn update_config(
    front: &FrontContext,
    config: ServingConfig,
    text: Vec<u8>,
    source: &str,
) {
    let mut state = front.state();
    let previous = state.config.as_ref().map_or(0, |config| config.version);
    let is_newer = state.config.is_none() || config.version > previous;
    log::info!(
        event = "config",
        version = config.version,
        before = previous,
        taken = is_newer,
        source = source,
        routes = config.routes.len(),
        organisations = config.organisations.len(),
        keys = config.keys.len(),
        stores = config.stores.len();
        ""
    );
    if is_newer {
        state.kv_store_directory.set_stores(&config.stores);
        apply_organisations(&mut state, &config);
        state.config = Some(Rc::new(config));
        state.config_text = text;
    }
}

/// Applies which organisations share cached parts, and logs changes.
fn apply_organisations(
    state: &mut FrontState,
    config: &ServingConfig,
) {
    let previous = state.sharing_groups.current().tag();
    let replaced = state.sharing_groups.apply(&config.organisations);
    let group = state.sharing_groups.current();
    if group.tag() == previous && replaced == 0 {
        return;
    }
    log::info!(
        event = "sharing-group",
        version = config.version,
        organisations = group.len(),
        isolated = config.organisations.len() - group.len(),
        tag = format!("{:x}", group.tag()).as_str(),
        replaced = replaced;
        ""
    );
}
