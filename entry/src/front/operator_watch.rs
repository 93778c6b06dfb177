use {
    super::{CallLimit, ForeignRows, FrontContext},
    pitchhitch_core::{serving::ServingConfig, time::Micros},
    pitchhitch_platform::{
        decode_config, decode_row, NamedWeights, RowFault, RowNews, RowPage, RowTable, StoreClient,
        StoreError, StoreRow, CONFIG_KEY,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::rc::Rc,
};

/// Pause after a call that failed.
const RETRY_PAUSE: Micros = Micros::from_millis(150);

/// Keeps the configuration fresh.
pub(crate) async fn watch_operator(front: Rc<FrontContext>) {
    let mut limit = CallLimit::default();
    let mut client = StoreClient::new(front.settings.store, limit.next());
    let wait = to_duration(front.settings.change_wait());
    let mut foreign = ForeignRows::new("operator");
    let mut seen: Option<u64> = None;
    let mut is_lost = false;
    loop {
        let sent_at = front.now();
        client.set_limit(limit.next());
        let hold = limit.hold(wait);
        let read = match seen {
            Some(after) => client.read_changes(RowTable::Operator, after, hold).await,
            None => client.read_all(RowTable::Operator).await,
        };
        limit.note(&read);
        let outcome = match read {
            Ok(page) => {
                seen = Some(seen.unwrap_or(0).max(page.version));
                take_rows(&front, page, sent_at, &mut foreign);
                Ok(())
            }
            Err(error) => Err(error),
        };
        note_contact(&front, "operator", &mut is_lost, &outcome);
        if let Err(error) = outcome {
            // Everything is read anew where it is not sure what was missed.
            if matches!(error, StoreError::HistoryGone | StoreError::Unreadable(_)) {
                seen = None;
            }
            Timer::after(to_duration(RETRY_PAUSE)).await;
        }
    }
}

fn take_rows(
    front: &FrontContext,
    page: RowPage,
    sent_at: Micros,
    foreign: &mut ForeignRows,
) {
    for row in page.rows {
        let key = row.key.clone();
        match take_operator_row(front, row) {
            Ok(()) => foreign.is_over(&key),
            Err(fault) => foreign.note(front, &key, &fault),
        }
    }
    // A configuration that cannot be read may take keys away.
    if !foreign.has(CONFIG_KEY) {
        front.state().trust.proven(sent_at);
    }
}

fn take_operator_row(
    front: &FrontContext,
    row: StoreRow,
) -> Result<(), RowFault> {
    match decode_row(RowTable::Operator, row)? {
        RowNews::Config(text) => {
            let config = decode_config(&text)?;
            take_config(front, config, text, "row");
        }
        RowNews::Weights(named) => name_weights(front, &named),
        _ => {}
    }
    Ok(())
}

fn name_weights(
    front: &FrontContext,
    named: &NamedWeights,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let not_yet = state.trust.proven_at();
    let planner = &mut state.planner;
    let is_news = planner.name(&named.model, named.version, not_yet, now);
    // What was known before, by whomever, did not show it yet.
    if let Some(age) = state.trust.age(now).filter(|_| is_news) {
        planner.tell_age(&named.model, named.version, age, now);
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

/// Logs that the store was lost or is back, once each.
pub(crate) fn note_contact(
    front: &FrontContext,
    watch: &'static str,
    is_lost: &mut bool,
    outcome: &Result<(), StoreError>,
) {
    match outcome {
        Ok(()) if *is_lost => {
            *is_lost = false;
            log::info!(event = "store-back", watch = watch; "");
        }
        Err(error) => {
            front.metrics.count("store_failures", watch);
            if !*is_lost {
                *is_lost = true;
                let error = error.to_string();
                log::warn!(event = "store-lost", watch = watch, error = error.as_str(); "");
            }
        }
        Ok(()) => {}
    }
}
