use {
    super::{sleep, EngineAgentContext},
    pitchhitch_core::{
        serving::{fencing_token, stable_fraction, OrderRight, StorePosition},
        time::Micros,
    },
    pitchhitch_http1::HttpClient,
    pitchhitch_platform::{
        acquire_order_row, read_order_row, send_order, OrderResponse, StoreClient, StoreError,
        WeightOrder,
    },
    std::{rc::Rc, time::Duration},
};

/// Interval of checks whether an order is due while the engine lacks a wanted version.
const CHECK_INTERVAL: Micros = Micros::from_millis(60);
/// Interval of checks while the engine has all wanted versions.
const MAX_ORDER_WAIT: Duration = Duration::from_secs(60);
/// Time for which a front's report that it is the engine's turn is valid.
const TURN_TTL: Micros = Micros::from_millis(1_300);
/// Timeout of an order; the engine may still execute it later.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after an order, until the engine's reports show its effect.
const ORDER_DELAY: Micros = Micros::from_millis(350);
/// Timeout of a request to the platform store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of writes in one attempt to acquire the right to give orders.
const MAX_ACQUIRE_CALLS: u32 = 3;
/// Minimum and maximum delay between attempts to acquire the right to give orders; the delay
/// doubles with each attempt.
const RETRY_DELAY_RANGE: (Micros, Micros) = (Micros::from_millis(300), Micros::from_secs(4));

/// Gives the engine its orders. A front that has received no digests from this process for some
/// time may acquire the right to give orders, so the holder of the right is checked before each
/// order.
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
        // The order may no longer be due after the check.
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

/// Acquires the right to give the engine orders. After a write without a response, the row is read
/// again.
async fn acquire_right(
    agent: &EngineAgentContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
) {
    let settings = &agent.settings;
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
        // Agents that started together do not retry together.
        let jitter = stable_fraction(&format!("{} {}", settings.box_id, delay.0));
        sleep(delay + Micros((delay.0 as f64 * jitter) as u64)).await;
        delay = (delay + delay).min(RETRY_DELAY_RANGE.1);
    }
}

/// Replaces the row, even one written by an earlier incarnation of this process: the fencing token
/// has to increase. The first write expects that there is no row, and is answered with the row
/// otherwise.
async fn try_acquire(
    agent: &EngineAgentContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
) -> Result<StorePosition, StoreError> {
    let settings = &agent.settings;
    let mut row = None;
    for _ in 0..MAX_ACQUIRE_CALLS {
        let sent_at = agent.now();
        let holder = &settings.box_id;
        match acquire_order_row(store, settings.engine, row.as_ref(), holder).await? {
            Ok(position) => {
                right.on_row_written(position, sent_at, agent.now());
                return Ok(position);
            }
            Err(current) => row = current,
        }
    }
    Err(StoreError::Conflict)
}

/// Fencing token for an order that may be given now, after a check of the holder of the right.
/// While the store is unreachable, no other process can take over the right, so the token is used
/// unchecked.
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

/// Order that is due for the engine now, and the engine's id.
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
        // A front that did not know yet of the load that just ended gave the turn for that one.
        let is_turn = wanted
            .turn_at
            .is_some_and(|at| now.since(at) < TURN_TTL && at >= state.weights_changed_at);
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
