use {
    super::{has_view, FrontContext, CALL_LIMIT},
    pitchhitch_core::{
        serving::{CacheNamespace, EndpointStatus, PartId, ReclaimState},
        time::Micros,
    },
    pitchhitch_platform::KvClient,
    std::{collections::HashSet, net::SocketAddr, rc::Rc},
};

/// Parts freed by one call.
const MAX_PARTS_PER_CALL: usize = 200;
/// Pause between two calls that free.
const RECLAIM_INTERVAL: Micros = Micros::from_millis(300);
/// Pause while no weights have been replaced.
const IDLE_INTERVAL: Micros = Micros::from_millis(900);
/// Looks that find parts held in a row before it is told: each proof lags a little.
const MIN_DRAINING_POLLS: u32 = 5;

/// Keeps it known which engines there are, whose fetches parts are held for.
pub(crate) async fn track_engines(front: Rc<FrontContext>) {
    loop {
        front.rest(RECLAIM_INTERVAL).await;
        update_engines(&front);
    }
}

/// Frees parts that were made under weights which nobody fetches for any more.
pub(super) async fn reclaim_outdated_parts(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KvClient::new(address, CALL_LIMIT);
    let mut draining_polls = 0;
    while has_view(&front, address) {
        front.rest(reclaim_interval(&front)).await;
        let Some(OutdatedParts { parts, epoch, draining }) = find_outdated_parts(&front, address) else {
            continue;
        };
        let was_logged = draining_polls >= MIN_DRAINING_POLLS;
        draining_polls = draining.as_ref().map_or(0, |_| draining_polls + 1);
        if was_logged != (draining_polls >= MIN_DRAINING_POLLS) {
            log_draining(&front, address, draining.as_ref());
        }
        if parts.is_empty() {
            continue;
        }
        let clock_ms = store_clock_ms(&front, address);
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
                let namespace = state.wall(salt);
                if let Some(view) = state.memory.view_mut(address) {
                    view.set_part(namespace, *id, 0);
                }
            }
        }
    }
}

/// Pause until it is looked for parts to be freed: few weights are replaced.
fn reclaim_interval(front: &FrontContext) -> Micros {
    let namespaces = front.state().walls();
    let state = front.state();
    let is_outdated =
        |namespace: &CacheNamespace| state.planner.published_version(&namespace.model) > Some(namespace.version);
    match namespaces.iter().any(|(namespace, _)| is_outdated(namespace)) {
        true => RECLAIM_INTERVAL,
        false => IDLE_INTERVAL,
    }
}

/// Takes which engines there are: those of which nothing is heard count as well.
fn update_engines(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let Some(config) = &state.config else {
        return;
    };
    let mut engines = Vec::new();
    let mut others = HashSet::new();
    for (_, entry) in state.book.iter() {
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
    state.reads.update_engines(engines.into_iter(), now);
    for address in others {
        state.reads.forget(address);
    }
    state.reads.prune(now);
}

fn log_draining(
    front: &FrontContext,
    address: SocketAddr,
    draining: Option<&CacheNamespace>,
) {
    let state = front.state();
    let waits_for = draining.map(|namespace| state.reads.oldest_proven(&namespace.model, namespace.version));
    let waits_for: Vec<String> = waits_for.iter().flatten().map(SocketAddr::to_string).collect();
    log::info!(
        event = "kept-held",
        store = address.to_string().as_str(),
        held = draining.is_some(),
        version = draining.map_or(0, |namespace| namespace.version),
        waits_for = waits_for.join(",").as_str();
        ""
    );
}

/// Time on the engines' clock, to set a free beside the times that fetches were given.
fn store_clock_ms(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<u64> {
    let now = front.now();
    let mut state = front.state();
    state.memory.view_mut(address)?.clock_ms(now)
}

/// Parts at a store whose weights have been replaced.
struct OutdatedParts {
    /// Those that are freed now.
    parts: Vec<(String, PartId)>,
    /// Life of the store that this is known of.
    epoch: u64,
    /// Weights of some that are held until engines prove that they are done.
    draining: Option<CacheNamespace>,
}

fn find_outdated_parts(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<OutdatedParts> {
    let now = front.now();
    let mut guard = front.state();
    if !guard.has_list {
        // Nobody knows yet which engines may have been told.
        return None;
    }
    let namespaces = guard.walls();
    let state = &mut *guard;
    let (planner, reads) = (&state.planner, &state.reads);
    let view = state.memory.view_mut(address)?;
    let epoch = view.epoch()?;
    let clock_ms = view.latest_clock_ms(now);
    let mut parts = Vec::new();
    let mut draining = None;
    for (namespace, tag) in namespaces {
        if planner.published_version(&namespace.model) <= Some(namespace.version) {
            continue;
        }
        let salt = namespace.salt();
        let completed_until_ms = reads.completed_until_ms(&namespace.model, namespace.version);
        for id in view.parts.parts_in(tag) {
            match planner.reclaim_state(&namespace.model, namespace.version, id, completed_until_ms, clock_ms, now) {
                ReclaimState::Fetchable => {}
                ReclaimState::Draining => draining = Some(namespace.clone()),
                ReclaimState::Reclaimable => parts.push((salt.clone(), id)),
            }
        }
    }
    parts.truncate(MAX_PARTS_PER_CALL);
    Some(OutdatedParts { parts, epoch, draining })
}
