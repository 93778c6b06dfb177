use {
    crate::front::{has_store, FrontContext, CALL_TIMEOUT},
    pitchhitch_core::{
        serving::{CacheNamespace, EndpointStatus, PartId, ReclaimState},
        time::Micros,
    },
    pitchhitch_platform::KvClient,
    std::{collections::HashSet, net::SocketAddr, rc::Rc},
};

/// Maximum number of parts freed by one call.
const MAX_PARTS_PER_CALL: usize = 200;
/// Interval between two calls that free parts.
const RECLAIM_INTERVAL: Micros = Micros::from_millis(300);
/// Interval while no weights have been replaced.
const IDLE_INTERVAL: Micros = Micros::from_millis(900);
/// Consecutive polls with draining parts before these are logged: each proof that a fetch has ended
/// arrives with some delay.
const MIN_DRAINING_POLLS: u32 = 5;

/// Tracks the engines; outdated parts are freed only after the fetches of all engines have ended.
pub(crate) async fn track_engines(front: Rc<FrontContext>) {
    loop {
        front.sleep_coalesced(RECLAIM_INTERVAL).await;
        update_engines(&front);
    }
}

/// Frees the parts at a store that belong to replaced weights and that no engine is fetching.
pub(crate) async fn reclaim_outdated_parts(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KvClient::new(address, CALL_TIMEOUT);
    let mut draining_polls = 0;
    while has_store(&front, address) {
        front.sleep_coalesced(reclaim_interval(&front)).await;
        let Some(OutdatedParts {
            parts,
            epoch,
            draining,
        }) = find_outdated_parts(&front, address)
        else {
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
                let namespace = state.namespace_tag(salt);
                if let Some(view) = state.kv_store_directory.view_mut(address) {
                    view.set_part(namespace, *id, 0);
                }
            }
        }
    }
}

/// Interval until the next poll for outdated parts, longer while there are none: weights are
/// rarely replaced.
fn reclaim_interval(front: &FrontContext) -> Micros {
    let namespaces = front.state().namespaces();
    let state = front.state();
    let is_outdated = |namespace: &CacheNamespace| {
        state.planner.published_version(&namespace.model) > Some(namespace.version)
    };
    match namespaces
        .iter()
        .any(|(namespace, _)| is_outdated(namespace))
    {
        true => RECLAIM_INTERVAL,
        false => IDLE_INTERVAL,
    }
}

/// Updates the list of engines. Engines that currently send no reports count as well.
fn update_engines(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let Some(config) = &state.config else {
        return;
    };
    let mut engines = Vec::new();
    let mut plain_services = HashSet::new();
    for (_, entry) in state.registry.iter() {
        let Some(service) = config.services.get(&entry.service) else {
            continue;
        };
        if service.engine.is_some() {
            engines.push((entry.address, &entry.weights));
        } else if entry.status != EndpointStatus::Leaving {
            plain_services.insert(entry.address);
        }
    }
    // A plain service at an address shows that the engine formerly there has exited.
    engines.retain(|(address, _)| !plain_services.contains(address));
    state
        .fetch_completion
        .update_engines(engines.into_iter(), now);
    for address in plain_services {
        state.fetch_completion.forget(address);
    }
    state.fetch_completion.prune(now);
}

fn log_draining(
    front: &FrontContext,
    address: SocketAddr,
    draining: Option<&CacheNamespace>,
) {
    let state = front.state();
    let waits_for = draining.map(|namespace| {
        state
            .fetch_completion
            .oldest_proven(&namespace.model, namespace.version)
    });
    let waits_for: Vec<String> = waits_for
        .iter()
        .flatten()
        .map(SocketAddr::to_string)
        .collect();
    log::info!(
        event = "kept-held",
        store = address.to_string().as_str(),
        held = draining.is_some(),
        version = draining.map_or(0, |namespace| namespace.version),
        waits_for = waits_for.join(",").as_str();
        ""
    );
}

/// Time on the engines' clock, logged so that a free can be compared with the deadlines of fetches.
fn store_clock_ms(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<u64> {
    let now = front.now();
    let mut state = front.state();
    state.kv_store_directory.view_mut(address)?.clock_ms(now)
}

/// Parts at a store whose weights have been replaced.
struct OutdatedParts {
    /// Parts that can be freed now, with the salt of their namespace.
    parts: Vec<(String, PartId)>,
    /// Epoch of the store that this applies to.
    epoch: u64,
    /// Namespace of parts that are retained until the engines prove that their fetches have ended.
    draining: Option<CacheNamespace>,
}

fn find_outdated_parts(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<OutdatedParts> {
    let now = front.now();
    let mut guard = front.state();
    if !guard.has_list {
        // It is not known yet which engines may be fetching.
        return None;
    }
    let namespaces = guard.namespaces();
    let state = &mut *guard;
    let (planner, fetches) = (&state.planner, &state.fetch_completion);
    let view = state.kv_store_directory.view_mut(address)?;
    let epoch = view.epoch()?;
    let clock_ms = view.max_clock_ms(now);
    let mut parts = Vec::new();
    let mut draining = None;
    for (namespace, tag) in namespaces {
        if planner.published_version(&namespace.model) <= Some(namespace.version) {
            continue;
        }
        let salt = namespace.salt();
        let completed_until_ms = fetches.completed_until_ms(&namespace.model, namespace.version);
        for id in view.parts.parts_in(tag) {
            match planner.reclaim_state(
                &namespace.model,
                namespace.version,
                id,
                completed_until_ms,
                clock_ms,
                now,
            ) {
                ReclaimState::Fetchable => {}
                ReclaimState::Draining => draining = Some(namespace.clone()),
                ReclaimState::Reclaimable => parts.push((salt.clone(), id)),
            }
        }
    }
    parts.truncate(MAX_PARTS_PER_CALL);
    Some(OutdatedParts {
        parts,
        epoch,
        draining,
    })
}
