use {
    super::{reclaim_outdated_parts, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{PollPlan, StoreView},
        time::Micros,
    },
    pitchhitch_platform::{KvChange, KvClient, KvError},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::StoreUpdate,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time limit of a question, beyond the time it is held.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Pause after a question that was one too many for a store.
const BUSY_PAUSE: Micros = Micros::from_millis(120);
/// Time for which a store is not asked after others told what they read there: two digests.
const TOLD_LIFE: Micros = Micros::from_millis(1_300);
/// How often it is looked for new stores.
const STORES_PAUSE: Micros = Micros::from_millis(60);

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
                front.spawn(reclaim_outdated_parts(front.clone(), address));
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
    let mut client = KvClient::new(address, CALL_LIMIT);
    let mut asks_at_once = false;
    let mut is_lost = false;
    while let Some(plan) = look_plan(&front, address) {
        if let Some(told_for) = told_for(&front, address) {
            front.rest(told_for).await;
            continue;
        }
        let next = position(&front, address);
        // Behind a list and after a standstill the clock is wanted at once, not the
        // next change.
        let hold = match asks_at_once {
            true => Micros::ZERO,
            false => plan.wait,
        };
        let step = match next {
            Some(since) => read_changes(&front, &mut client, address, since, hold).await,
            None => read_list(&front, &mut client, address).await,
        };
        let is_old = is_stale(&front, address);
        let pause = match step {
            LookStep::Listed(from) => {
                set_position(&front, address, Some(from));
                Micros::ZERO
            }
            LookStep::Changes(from) => {
                set_position(&front, address, Some(from));
                if is_old {
                    Micros::ZERO
                } else {
                    plan.pause
                }
            }
            LookStep::Anew => {
                set_position(&front, address, None);
                Micros::ZERO
            }
            LookStep::Busy => {
                front.metrics.count("kept_store", "busy");
                BUSY_PAUSE
            }
            LookStep::Lost => {
                with_view(&front, address, StoreView::mark_unreachable);
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

/// Time for which others will have told what they read at a store, where they do.
fn told_for(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<Micros> {
    let now = front.now();
    let mut state = front.state();
    let told_at = state.memory.view_mut(address)?.reported_at?;
    let left = (told_at + TOLD_LIFE).since(now);
    (left > Micros::ZERO).then_some(left)
}

fn position(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<u64> {
    front.state().memory.view_mut(address)?.next_change
}

fn set_position(
    front: &FrontContext,
    address: SocketAddr,
    next: Option<u64>,
) {
    with_view(front, address, |view| view.next_change = next);
}

/// Takes what another process has read of a store, unless something is missing before it: then
/// the store itself is asked. It was on its way for `way` at most.
pub(super) fn take_store_news(
    state: &mut FrontState,
    news: &StoreUpdate,
    way: Micros,
    now: Micros,
) {
    let Some(view) = state.memory.view_mut(news.store) else {
        return;
    };
    let known = view
        .next_change
        .filter(|_| view.epoch() == Some(news.epoch));
    let Some(known) = known.filter(|known| *known >= news.from) else {
        view.reported_at = None;
        return;
    };
    let sent_at = now.since(news.age + way);
    let clock_ms = news.clock_ms.map(|clock| clock + news.answered.as_millis());
    view.record_poll_report(clock_ms, sent_at, now);
    for part in news.parts.iter().filter(|part| part.number > known) {
        view.set_part(part.namespace, part.id, part.tokens);
    }
    view.next_change = Some(known.max(news.next));
}

/// How the store is asked; nothing where the configuration no longer names it.
fn look_plan(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<PollPlan> {
    let mut state = front.state();
    let fronts = state.fronts;
    let view = state.memory.view_mut(address)?;
    Some(view.store.poll_plan(fronts))
}

/// Whether the configuration still names a store.
pub(super) fn has_view(
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
    client: &mut KvClient,
    address: SocketAddr,
    since: u64,
    hold: Micros,
) -> LookStep {
    let sent_at = front.now();
    let changes = match client.changes(since, to_duration(hold)).await {
        Ok(changes) => changes,
        Err(KvError::Busy) => return LookStep::Busy,
        Err(KvError::Unavailable) => return LookStep::Lost,
    };
    let mut state = front.state();
    let Some(view) = state.memory.view_mut(address) else {
        return LookStep::Lost;
    };
    if view.epoch() != Some(changes.epoch) || changes.has_gap {
        // Not gone by until all of it has been read.
        view.mark_unreachable();
        return LookStep::Anew;
    }
    view.record_answer(changes.epoch, changes.clock_ms, sent_at, front.now());
    drop(state);
    take_parts(front, address, &changes.changes);
    LookStep::Changes(changes.next)
}

async fn read_list(
    front: &FrontContext,
    client: &mut KvClient,
    address: SocketAddr,
) -> LookStep {
    let sent_at = front.now();
    let Some(list) = client.list().await else {
        return LookStep::Lost;
    };
    let now = front.now();
    with_view(front, address, |view| {
        view.record_answer(list.epoch, None, sent_at, now);
        view.parts.clear();
    });
    log::info!(
        event = "kept-list",
        store = address.to_string().as_str(),
        epoch = list.epoch,
        parts = list.complete.len(),
        broken = list.partial.len();
        ""
    );
    take_parts(front, address, &list.complete);
    LookStep::Listed(list.next)
}

fn take_parts(
    front: &FrontContext,
    address: SocketAddr,
    changes: &[KvChange],
) {
    let mut state = front.state();
    for change in changes {
        let wall = state.wall(&change.salt);
        if let Some(view) = state.memory.view_mut(address) {
            view.set_part(wall, change.id, change.tokens);
        }
    }
}
