use {
    super::{sleep, EngineAgentContext},
    pitchhitch_core::{
        serving::{fencing_token, OrderRight, StorePosition},
        time::Micros,
    },
    pitchhitch_http1::HttpClient,
    pitchhitch_platform::{
        acquire_order_row, read_order_row, send_order, OrderResponse, StoreClient, StoreError,
        WeightOrder,
    },
    std::{rc::Rc, time::Duration},
};

/// How often it is looked whether an order is due, while the engine lacks weights.
const CHECK_INTERVAL: Micros = Micros::from_millis(60);
/// Longest wait for weights that it lacks; only ends the task's wait, and nothing else.
const MAX_ORDER_WAIT: Duration = Duration::from_secs(60);
/// Time for which a front's word that it is the engine's turn holds.
const TURN_TTL: Micros = Micros::from_millis(1_300);
/// Time limit of an order; it may be carried out later all the same.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after an order: the engine's reports show what became of it.
const ORDER_DELAY: Micros = Micros::from_millis(350);
/// Time limit of a call of the platform's store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pauses between tries to get a number: they double from the first to the last.
const RETRY_DELAY_RANGE: (Micros, Micros) = (Micros::from_millis(300), Micros::from_secs(4));

/// Gives the engine its orders. Where this process is not heard for long, a front may take that
/// over, so it looks whose right it is before each.
pub(crate) async fn send_orders(agent: Rc<EngineAgentContext>) {
    let settings = &agent.settings;
    let mut store = StoreClient::new(settings.store, STORE_TIMEOUT);
    let mut right = OrderRight::new(settings.box_id.as_str(), settings.order_gap);
    let mut client = HttpClient::new(settings.engine, ORDER_TIMEOUT);
    loop {
        if !right.is_held() {
            acquire_right(&agent, &mut store, &mut right).await;
        }
        if !agent.state().needs_order() {
            agent.order_due.wait(MAX_ORDER_WAIT).await;
        }
        sleep(CHECK_INTERVAL).await;
        let is_due = due_order(&agent, 0).is_some() && !right.is_waiting(agent.now());
        let token = match is_due {
            true => confirmed_token(&agent, &mut store, &mut right).await,
            false => None,
        };
        // What was due may not be any more.
        let Some((order, engine_id)) = token.and_then(|token| due_order(&agent, token)) else {
            continue;
        };
        let outcome = send_order(&mut client, &engine_id, &order).await;
        record_order(&agent, &engine_id, &order, &outcome);
        if outcome.is_fenced_off() {
            right.on_row_unknown();
            continue;
        }
        sleep(ORDER_DELAY).await;
    }
}

fn record_order(
    agent: &EngineAgentContext,
    engine_id: &str,
    order: &WeightOrder,
    outcome: &OrderResponse,
) {
    let outcome = outcome.to_string();
    log::info!(
        event = "order",
        engine = engine_id,
        model = order.model.as_str(),
        version = order.version,
        fence = order.fence,
        orders_taken = order.orders_taken.unwrap_or(0),
        outcome = outcome.as_str();
        ""
    );
    agent.state().metrics.increment("orders", &outcome);
}

/// Takes the right to give the engine its orders; a write whose answer is lost is settled by
/// reading.
async fn acquire_right(
    agent: &EngineAgentContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
) {
    let mut delay = RETRY_DELAY_RANGE.0;
    loop {
        match try_acquire(agent, store, right).await {
            Ok(position) => {
                log::info!(
                    event = "fence",
                    number = fencing_token(position),
                    era = position.era.0,
                    version = position.version;
                    ""
                );
                return;
            }
            Err(error) => {
                right.on_row_unknown();
                log_store_error(&error);
            }
        }
        sleep(delay).await;
        delay = (delay + delay).min(RETRY_DELAY_RANGE.1);
    }
}

/// Replaces the row, also one of an earlier life of this process: its number is to rise.
async fn try_acquire(
    agent: &EngineAgentContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
) -> Result<StorePosition, StoreError> {
    let settings = &agent.settings;
    let row = read_order_row(store, settings.engine).await?;
    let sent_at = agent.now();
    let position = acquire_order_row(store, settings.engine, row.as_ref(), &settings.box_id).await?;
    right.on_row_written(position, sent_at, agent.now());
    Ok(position)
}

/// The number under which an order may be given now, once it is sure whose right that is. While
/// the store is away, nobody takes it over.
async fn confirmed_token(
    agent: &EngineAgentContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
) -> Option<u64> {
    let sent_at = agent.now();
    let read = read_order_row(store, agent.settings.engine).await;
    let now = agent.now();
    let row = match read {
        Ok(row) => row,
        Err(error) => {
            log_store_error(&error);
            return right.unchecked_fencing_token(now);
        }
    };
    let holder = row.as_ref().map_or(String::new(), |row| row.holder.clone());
    right.on_row_read(row, sent_at, now);
    if !right.is_held() {
        log::warn!(event = "order-right", outcome = "lost", holder = holder.as_str(); "");
    }
    right.fencing_token(now)
}

fn log_store_error(error: &StoreError) {
    let error = error.to_string();
    log::warn!(event = "store-lost", watch = "fence", error = error.as_str(); "");
}

/// The order that the engine should get now, and the engine's id.
fn due_order(
    agent: &EngineAgentContext,
    fence: u64,
) -> Option<(WeightOrder, String)> {
    let state = agent.state();
    let now = agent.now();
    if state.load.is_silent || state.load.is_swapping {
        return None;
    }
    let engine_id = state.engine_id.clone()?;
    for (model, version) in &state.weights {
        let Some(wanted) = state.wanted.get(model) else {
            continue;
        };
        let is_turn = wanted.turn_at.is_some_and(|at| now.since(at) < TURN_TTL);
        if wanted.version > *version && is_turn {
            let order = WeightOrder {
                model: model.clone(),
                version: wanted.version,
                holder: agent.settings.box_id.clone(),
                fence,
                orders_taken: Some(state.orders_taken),
            };
            return Some((order, engine_id));
        }
    }
    None
}
