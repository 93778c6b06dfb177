use {
    super::FrontContext,
    pitchhitch_core::{
        serving::{EndpointStanding, LookPlan, PartFate, PartId, StoreView, WallName},
        time::Micros,
    },
    pitchhitch_platform::{KeptChange, KeptClient, KeptFailure},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time limit of a question, beyond the time it is held.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Pause after a question that was one too many for a store.
const BUSY_PAUSE: Micros = Micros::from_millis(120);
/// How often it is looked for new stores.
const STORES_PAUSE: Micros = Micros::from_millis(60);
/// Parts freed by one call.
const FREE_LIMIT: usize = 200;
/// Pause between two calls that free.
const FREE_PAUSE: Micros = Micros::from_millis(300);
/// Looks that find parts held in a row before it is told: each proof lags a little.
const HELD_LOOKS: u32 = 5;

/// What came of a question to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookStep {
    /// All that it keeps, and where changes go on. These are asked for at once:
    /// with them comes the time on the engines' clock, which fetches need.
    Listed(u64),
    /// What changed, and where to go on.
    Changes(u64),
    /// All must be read anew.
    Anew,
    /// It holds no more calls; what is known of it stays as good as it is.
    Busy,
    /// It does not answer.
    Lost,
}

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
    let mut asks_at_once = false;
    let mut is_lost = false;
    while let Some(plan) = look_plan(&front, address) {
        // Behind a list and after a standstill the clock is wanted at once, not the
        // next change.
        let hold = match asks_at_once {
            true => Micros::ZERO,
            false => plan.hold,
        };
        let step = match next {
            Some(since) => read_changes(&front, &mut client, address, since, hold).await,
            None => read_list(&front, &mut client, address).await,
        };
        let is_old = is_stale(&front, address);
        let pause = match step {
            LookStep::Listed(from) => {
                next = Some(from);
                Micros::ZERO
            }
            LookStep::Changes(from) => {
                next = Some(from);
                if is_old {
                    Micros::ZERO
                } else {
                    plan.pause
                }
            }
            LookStep::Anew => {
                next = None;
                Micros::ZERO
            }
            LookStep::Busy => {
                front.metrics.count("kept_store", "busy");
                BUSY_PAUSE
            }
            LookStep::Lost => {
                with_view(&front, address, StoreView::lost);
                plan.pause
            }
        };
        asks_at_once = match step {
            LookStep::Listed(_) => true,
            LookStep::Changes(_) => is_old,
            LookStep::Busy => asks_at_once,
            LookStep::Anew | LookStep::Lost => false,
        };
        let lost_now = step == LookStep::Lost;
        if step != LookStep::Busy && lost_now != is_lost {
            is_lost = lost_now;
            let store = address.to_string();
            log::info!(event = "kept-store", store = store.as_str(), lost = is_lost; "");
        }
        Timer::after(to_duration(pause)).await;
    }
}

/// How the store is asked; nothing where the configuration no longer names it.
fn look_plan(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<LookPlan> {
    let mut state = front.state();
    let fronts = state.fronts;
    let view = state.memory.view_mut(address)?;
    Some(view.store.look_plan(fronts))
}

fn has_view(
    front: &FrontContext,
    address: SocketAddr,
) -> bool {
    front.state().memory.view_mut(address).is_some()
}

/// Whether the answer that has just come is too old already: it lay on the
/// connection while the process stood still.
fn is_stale(
    front: &FrontContext,
    address: SocketAddr,
) -> bool {
    let now = front.now();
    let mut state = front.state();
    let view = state.memory.view_mut(address);
    view.is_some_and(|view| view.is_stale(now))
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

async fn read_changes(
    front: &FrontContext,
    client: &mut KeptClient,
    address: SocketAddr,
    since: u64,
    hold: Micros,
) -> LookStep {
    let sent_at = front.now();
    let changes = match client.changes(since, to_duration(hold)).await {
        Ok(changes) => changes,
        Err(KeptFailure::Busy) => return LookStep::Busy,
        Err(KeptFailure::Silent) => return LookStep::Lost,
    };
    let mut state = front.state();
    let Some(view) = state.memory.view_mut(address) else {
        return LookStep::Lost;
    };
    if view.epoch() != Some(changes.epoch) || changes.has_gap {
        // Not gone by until all of it has been read.
        view.lost();
        return LookStep::Anew;
    }
    view.answered(changes.epoch, changes.clock_ms, sent_at, front.now());
    drop(state);
    take_parts(front, address, &changes.changes);
    LookStep::Changes(changes.next)
}

async fn read_list(
    front: &FrontContext,
    client: &mut KeptClient,
    address: SocketAddr,
) -> LookStep {
    let sent_at = front.now();
    let Some(list) = client.list().await else {
        return LookStep::Lost;
    };
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
    LookStep::Listed(list.next)
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
    let mut held_looks = 0;
    while has_view(&front, address) {
        Timer::after(to_duration(FREE_PAUSE)).await;
        note_engines(&front);
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
                let wall = state.wall(salt);
                if let Some(view) = state.memory.view_mut(address) {
                    view.set(wall, *id, 0);
                }
            }
        }
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
    for (_, entry) in state.book.iter() {
        let Some(group) = config.groups.get(&entry.service) else {
            continue;
        };
        if group.engine.is_some() {
            engines.push((entry.address, &entry.weights));
        } else if entry.standing != EndpointStanding::Leaving {
            others.insert(entry.address);
        }
    }
    // What serves at an address now shows that the engine before it has ended.
    engines.retain(|(address, _)| !others.contains(address));
    state.reads.know(engines.into_iter(), now);
    for address in others {
        state.reads.forget(address);
    }
    state.reads.prune(now);
}

fn log_held(
    front: &FrontContext,
    address: SocketAddr,
    held: Option<&WallName>,
) {
    let state = front.state();
    let last = held.map(|wall| state.reads.last_proven(&wall.model, wall.version));
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
    state.memory.view_mut(address)?.clock_ms(now)
}

/// Parts at a store whose weights have been replaced.
struct OldParts {
    /// Those that are freed now.
    parts: Vec<(String, PartId)>,
    /// Life of the store that this is known of.
    epoch: u64,
    /// Weights of some that are held until engines prove that they are done.
    held: Option<WallName>,
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
    let walls = guard.walls();
    let state = &mut *guard;
    let (planner, reads) = (&state.planner, &state.reads);
    let view = state.memory.view_mut(address)?;
    let epoch = view.epoch()?;
    let clock_ms = view.latest_clock_ms(now);
    let mut parts = Vec::new();
    let mut held = None;
    for (wall, tag) in walls {
        if planner.named(&wall.model) <= Some(wall.version) {
            continue;
        }
        let salt = wall.salt();
        let over_ms = reads.over_until_ms(&wall.model, wall.version);
        for id in view.parts.inside(tag) {
            match planner.fate(&wall.model, wall.version, id, over_ms, clock_ms, now) {
                PartFate::Fetched => {}
                PartFate::Held => held = Some(wall.clone()),
                PartFate::Over => parts.push((salt.clone(), id)),
            }
        }
    }
    parts.truncate(FREE_LIMIT);
    Some(OldParts { parts, epoch, held })
}
