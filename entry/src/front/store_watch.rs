use {
    super::FrontContext,
    pitchhitch_core::{
        serving::{PartId, StoreView, WallName},
        time::Micros,
    },
    pitchhitch_platform::{KeptChange, KeptClient},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time that a question for changes is held while there are none.
const HOLD: Duration = Duration::from_millis(300);
/// Pause between two questions; each has its price, and each answer proves for
/// two seconds that the store still lives as it did.
const LOOK_PAUSE: Micros = Micros::from_millis(400);
/// Time limit of a question, beyond the time it is held.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// How often it is looked for new stores.
const STORES_PAUSE: Micros = Micros::from_millis(60);
/// Parts freed by one call.
const FREE_LIMIT: usize = 200;
/// Pause between two calls that free.
const FREE_PAUSE: Micros = Micros::from_millis(300);

/// Keeps a task for each store of the configuration.
pub(crate) async fn watch_stores(front: Rc<FrontContext>) {
    let mut watched: HashSet<SocketAddr> = HashSet::new();
    loop {
        let known: Vec<SocketAddr> = {
            let state = front.state();
            state
                .memory
                .views()
                .iter()
                .map(|view| view.store.address)
                .collect()
        };
        watched.retain(|address| known.contains(address));
        for address in known {
            if watched.insert(address) {
                front.spawn(watch_store(front.clone(), address));
                front.spawn(free_old_parts(front.clone(), address));
            }
        }
        Timer::after(to_duration(STORES_PAUSE)).await;
    }
}

/// Follows what a store keeps, for as long as the configuration names it.
async fn watch_store(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KeptClient::new(address, CALL_LIMIT);
    let mut next: Option<u64> = None;
    let mut is_lost = false;
    while has_view(&front, address) {
        let is_first = next.is_none();
        let outcome = match next {
            Some(since) => read_changes(&front, &mut client, address, since).await,
            None => read_list(&front, &mut client, address).await,
        };
        match outcome {
            Some(from) => next = from,
            None => with_view(&front, address, StoreView::lost),
        }
        let is_first = is_first && next.is_some();
        if outcome.is_none() != is_lost {
            is_lost = outcome.is_none();
            let store = address.to_string();
            log::info!(event = "kept-store", store = store.as_str(), lost = is_lost; "");
        }
        // After the list the first changes are asked for at once: with them comes
        // the time on the engines' clock, which fetches need.
        if !is_first && (next.is_some() || is_lost) {
            Timer::after(to_duration(LOOK_PAUSE)).await;
        }
    }
}

fn has_view(
    front: &FrontContext,
    address: SocketAddr,
) -> bool {
    front.state().memory.view_mut(address).is_some()
}

fn with_view(
    front: &FrontContext,
    address: SocketAddr,
    change: impl FnOnce(&mut StoreView),
) {
    if let Some(view) = front.state().memory.view_mut(address) {
        change(view);
    }
}

/// Where to go on, `Some(None)` where all must be read anew; `None` where the
/// store does not answer.
async fn read_changes(
    front: &FrontContext,
    client: &mut KeptClient,
    address: SocketAddr,
    since: u64,
) -> Option<Option<u64>> {
    let sent_at = front.now();
    let changes = client.changes(since, HOLD).await?;
    let mut state = front.state();
    let known = state.memory.view_mut(address)?.epoch();
    if known != Some(changes.epoch) || changes.has_gap {
        // Not gone by until all of it has been read.
        state.memory.view_mut(address)?.lost();
        return Some(None);
    }
    let now = front.now();
    let view = state.memory.view_mut(address)?;
    view.answered(changes.epoch, changes.clock_ms, sent_at, now);
    drop(state);
    take_parts(front, address, &changes.changes);
    Some(Some(changes.next))
}

async fn read_list(
    front: &FrontContext,
    client: &mut KeptClient,
    address: SocketAddr,
) -> Option<Option<u64>> {
    let sent_at = front.now();
    let list = client.list().await?;
    let now = front.now();
    with_view(front, address, |view| {
        view.answered(list.epoch, None, sent_at, now);
        view.parts.clear();
    });
    log::info!(
        event = "kept-list",
        store = address.to_string().as_str(),
        epoch = list.epoch,
        parts = list.whole.len(),
        broken = list.broken.len();
        ""
    );
    take_parts(front, address, &list.whole);
    Some(Some(list.next))
}

fn take_parts(
    front: &FrontContext,
    address: SocketAddr,
    changes: &[KeptChange],
) {
    let mut state = front.state();
    for change in changes {
        let wall = state.wall(&change.salt);
        if let Some(view) = state.memory.view_mut(address) {
            view.set(wall, change.id, change.tokens);
        }
    }
}

/// Frees parts that were made under weights which nobody fetches for any more.
async fn free_old_parts(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KeptClient::new(address, CALL_LIMIT);
    while has_view(&front, address) {
        Timer::after(to_duration(FREE_PAUSE)).await;
        let Some((parts, epoch)) = old_parts(&front, address) else {
            continue;
        };
        let is_freed = client.free(&parts, epoch).await;
        log::info!(
            event = "kept-free",
            store = address.to_string().as_str(),
            epoch = epoch,
            parts = parts.len(),
            freed = is_freed;
            ""
        );
        if is_freed {
            let mut state = front.state();
            for (salt, id) in &parts {
                let wall = state.wall(salt);
                if let Some(view) = state.memory.view_mut(address) {
                    view.set(wall, *id, 0);
                }
            }
        }
    }
}

fn old_parts(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<(Vec<(String, PartId)>, u64)> {
    let now = front.now();
    let mut state = front.state();
    let planner = &state.planner;
    let is_old = |wall: &WallName| planner.may_free(&wall.model, wall.version, now);
    let mut walls = state.walls();
    walls.retain(|(wall, _)| is_old(wall));
    let view = state.memory.view_mut(address)?;
    let epoch = view.epoch()?;
    let mut parts = Vec::new();
    for (wall, tag) in walls {
        let salt = wall.salt();
        let inside = view.parts.inside(tag).into_iter();
        parts.extend(inside.map(|id| (salt.clone(), id)));
    }
    parts.truncate(FREE_LIMIT);
    (!parts.is_empty()).then_some((parts, epoch))
}
