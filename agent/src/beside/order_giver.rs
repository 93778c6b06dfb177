use {
    super::{pause, BesideContext},
    pitchhitch_core::{serving::StorePosition, time::Micros},
    pitchhitch_http1::{HttpCall, HttpClient},
    pitchhitch_platform::{
        encode_order, instance_field, StoreClient, StoreError, WeightOrder, ORDER_PATH,
    },
    std::{rc::Rc, time::Duration},
};

/// How often it is looked whether an order is due, while the engine lacks weights.
const LOOK_PAUSE: Micros = Micros::from_millis(60);
/// Longest wait for weights that it lacks; only ends the task's wait, and nothing else.
const LACK_WAIT: Duration = Duration::from_secs(60);
/// Time for which a front's word that it is the engine's turn holds.
const TURN_LIFE: Micros = Micros::from_millis(1_300);
/// Time limit of an order; it may be carried out later all the same.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// Pause after an order: the engine's reports show what became of it.
const AFTER_ORDER: Micros = Micros::from_millis(350);
/// Time limit of a call of the platform's store.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);
/// Bits of a number that versions take: ten years of 3,000 changes a second.
const ERA_SHIFT: u32 = 40;
/// Status of an order whose number is lower than one that the engine has seen.
const FENCED_OFF: u16 = 412;
/// Pauses between tries to get a number: they double from the first to the last.
const FENCE_PAUSES: (Micros, Micros) = (Micros::from_millis(300), Micros::from_secs(4));

/// Gives the engine its orders. Nobody else does, for the life of the box, so
/// the number that goes with them only has to rise from one life of this
/// process to the next.
pub(crate) async fn give_orders(beside: Rc<BesideContext>) {
    let mut fence = take_fence(&beside).await;
    let mut client = HttpClient::new(beside.settings.engine, ORDER_LIMIT);
    loop {
        if !beside.state().wants_order() {
            beside.order_due.wait(LACK_WAIT).await;
        }
        pause(LOOK_PAUSE).await;
        let Some((order, engine_id)) = due_order(&beside, fence) else {
            continue;
        };
        let call = HttpCall {
            method: "POST",
            target: ORDER_PATH,
            fields: vec![instance_field(&engine_id)],
            body: encode_order(&order),
            ..HttpCall::default()
        };
        let answer = client.call(call).await;
        let is_fenced_off = answer.as_ref().is_ok_and(|a| a.status == FENCED_OFF);
        let outcome = match answer {
            Ok(answer) => answer.status.to_string(),
            Err(failure) => failure.to_string(),
        };
        log::info!(
            event = "order",
            engine = engine_id.as_str(),
            model = order.model.as_str(),
            version = order.version,
            fence = order.fence,
            orders_taken = order.orders_taken.unwrap_or(0),
            outcome = outcome.as_str();
            ""
        );
        beside.state().metrics.count("orders", &outcome);
        if is_fenced_off {
            // The engine knows a higher one: without another, none of this life is taken.
            fence = take_fence(&beside).await;
            continue;
        }
        pause(AFTER_ORDER).await;
    }
}

/// The number of this life: the position of a row that each life writes. A write
/// whose answer is lost is made again; the later number is the higher one.
async fn take_fence(beside: &BesideContext) -> u64 {
    let mut client = StoreClient::new(beside.settings.store, STORE_LIMIT);
    let mut wait = FENCE_PAUSES.0;
    let key = format!("fence/{}", beside.settings.box_id);
    loop {
        match client.put(&key, beside.settings.box_id.as_bytes()).await {
            Ok(position) => {
                let number = fence_number(position);
                log::info!(
                    event = "fence",
                    number = number,
                    era = position.era.0,
                    version = position.version;
                    ""
                );
                return number;
            }
            Err(error) => log_store(&error),
        }
        pause(wait).await;
        wait = (wait + wait).min(FENCE_PAUSES.1);
    }
}

/// A position as a number that rises also where versions go back: with each era it is beyond all
/// of the one before.
fn fence_number(position: StorePosition) -> u64 {
    (position.era.0 << ERA_SHIFT) | position.version
}

fn log_store(error: &StoreError) {
    let error = error.to_string();
    log::warn!(event = "store-lost", watch = "fence", error = error.as_str(); "");
}

/// The order that the engine should get now, and the engine's id.
fn due_order(
    beside: &BesideContext,
    fence: u64,
) -> Option<(WeightOrder, String)> {
    let state = beside.state();
    let now = beside.now();
    if state.load.is_silent || state.load.is_swapping {
        return None;
    }
    let engine_id = state.engine_id.clone()?;
    for (model, version) in &state.weights {
        let Some(wanted) = state.wanted.get(model) else {
            continue;
        };
        let is_turn = wanted.turn_at.is_some_and(|at| now.since(at) < TURN_LIFE);
        if wanted.version > *version && is_turn {
            let order = WeightOrder {
                model: model.clone(),
                version: wanted.version,
                holder: beside.settings.box_id.clone(),
                fence,
                orders_taken: Some(state.orders_taken),
            };
            return Some((order, engine_id));
        }
    }
    None
}
