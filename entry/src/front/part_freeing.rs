use {
    super::{has_store, FrontContext, CALL_TIMEOUT},
    pitchhitch_core::{
        serving::{CacheNamespace, EndpointStatus, PartId, ReclaimState},
        time::Micros,
    },
    pitchhitch_platform::KeptClient,
    std::{collections::HashSet, net::SocketAddr, rc::Rc},
};

/// Parts freed by one call.
const FREE_LIMIT: usize = 200;
/// Pause between two calls that free.
const FREE_PAUSE: Micros = Micros::from_millis(300);
/// Pause while no weights have been replaced.
const CALM_PAUSE: Micros = Micros::from_millis(900);
/// Looks that find parts held in a row before it is told: each proof lags a little.
const HELD_LOOKS: u32 = 5;

/// Keeps it known which engines there are, whose fetches parts are held for.
pub(crate) async fn tend_parts(front: Rc<FrontContext>) {
    loop {
        front.sleep_coalesced(FREE_PAUSE).await;
        note_engines(&front);
    }
}

/// Frees parts that were made under weights which nobody fetches for any more.
pub(super) async fn free_old_parts(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KeptClient::new(address, CALL_TIMEOUT);
    let mut held_looks = 0;
    while has_store(&front, address) {
        front.sleep_coalesced(free_pause(&front)).await;
        let Some(OldParts { parts, epoch, held }) = old_parts(&front, address) else {
            continue;
        };
        let was_told = held_looks >= HELD_LOOKS;
        held_looks = held.as_ref().map_or(0, |_| held_looks + 1);
        if was_told != (held_looks >= HELD_LOOKS) {
            log_held(&front, address, held.as_ref());
        }
        if parts.is_empty() {
            continue;
        }
        let clock_ms = store_clock(&front, address);
        let is_freed = client.free(&parts, epoch).await;
        log::info!(
            event = "kept-free",
            store = address.to_string().as_str(),
            epoch = epoch,
            parts = parts.len(),
            clock_ms = clock_ms.map_or(-1, |clock| clock as i64),
            freed = is_freed;
            ""
        );
        if is_freed {
            let mut state = front.state();
            for (salt, id) in &parts {
                let wall = state.namespace_tag(salt);
                if let Some(view) = state.store_directory.view_mut(address) {
                    view.set_part(wall, *id, 0);
                }
            }
        }
    }
}

/// Pause until it is looked for parts to be freed: few weights are replaced.
fn free_pause(front: &FrontContext) -> Micros {
    let walls = front.state().namespaces();
    let state = front.state();
    let is_old =
        |wall: &CacheNamespace| state.planner.published_version(&wall.model) > Some(wall.version);
    match walls.iter().any(|(wall, _)| is_old(wall)) {
        true => FREE_PAUSE,
        false => CALM_PAUSE,
    }
}

/// Takes which engines there are: those of which nothing is heard count as well.
fn note_engines(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let Some(config) = &state.config else {
        return;
    };
    let mut engines = Vec::new();
    let mut others = HashSet::new();
    for (_, entry) in state.registry.iter() {
        let Some(group) = config.services.get(&entry.service) else {
            continue;
        };
        if group.engine.is_some() {
            engines.push((entry.address, &entry.weights));
        } else if entry.status != EndpointStatus::Leaving {
            others.insert(entry.address);
        }
    }
    // What serves at an address now shows that the engine before it has ended.
    engines.retain(|(address, _)| !others.contains(address));
    state
        .fetch_completion
        .update_engines(engines.into_iter(), now);
    for address in others {
        state.fetch_completion.forget(address);
    }
    state.fetch_completion.prune(now);
}

fn log_held(
    front: &FrontContext,
    address: SocketAddr,
    held: Option<&CacheNamespace>,
) {
    let state = front.state();
    let last = held.map(|wall| {
        state
            .fetch_completion
            .oldest_proven(&wall.model, wall.version)
    });
    let last: Vec<String> = last.iter().flatten().map(SocketAddr::to_string).collect();
    log::info!(
        event = "kept-held",
        store = address.to_string().as_str(),
        held = held.is_some(),
        version = held.map_or(0, |wall| wall.version),
        waits_for = last.join(",").as_str();
        ""
    );
}

/// Time on the engines' clock, to set a free beside the times that fetches were given.
fn store_clock(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<u64> {
    let now = front.now();
    let mut state = front.state();
    state.store_directory.view_mut(address)?.clock_ms(now)
}

/// Parts at a store whose weights have been replaced.
struct OldParts {
    /// Those that are freed now.
    parts: Vec<(String, PartId)>,
    /// Life of the store that this is known of.
    epoch: u64,
    /// Weights of some that are held until engines prove that they are done.
    held: Option<CacheNamespace>,
}

fn old_parts(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<OldParts> {
    let now = front.now();
    let mut guard = front.state();
    if !guard.has_list {
        // Nobody knows yet which engines may have been told.
        return None;
    }
    let walls = guard.namespaces();
    let state = &mut *guard;
    let (planner, reads) = (&state.planner, &state.fetch_completion);
    let view = state.store_directory.view_mut(address)?;
    let epoch = view.epoch()?;
    let clock_ms = view.latest_clock_ms(now);
    let mut parts = Vec::new();
    let mut held = None;
    for (wall, tag) in walls {
        if planner.published_version(&wall.model) <= Some(wall.version) {
            continue;
        }
        let salt = wall.salt();
        let over_ms = reads.completed_until_ms(&wall.model, wall.version);
        for id in view.parts.parts_in(tag) {
            match planner.reclaim_state(&wall.model, wall.version, id, over_ms, clock_ms, now) {
                ReclaimState::Fetchable => {}
                ReclaimState::Draining => held = Some(wall.clone()),
                ReclaimState::Reclaimable => parts.push((salt.clone(), id)),
            }
        }
    }
    parts.truncate(FREE_LIMIT);
    Some(OldParts { parts, epoch, held })
}
