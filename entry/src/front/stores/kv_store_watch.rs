use {
    crate::front::{
        read_changes, read_full_list, reclaim_outdated_parts, FrontContext, PollOutcome,
        MAX_DIRECT_READERS,
    },
    pitchhitch_core::{
        serving::{KvStoreView, PollPlan},
        time::Micros,
    },
    pitchhitch_platform::KvClient,
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Timeout of a request, in addition to the duration of the long poll.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a store has refused a request because too many are pending.
const BUSY_RETRY_DELAY: Micros = Micros::from_millis(120);
/// Time for which a store is not polled after a report of another process's read: long enough for
/// two digests.
const REPORT_TTL: Micros = Micros::from_millis(1_300);
/// Time for which a front waits for the whole content of a store from an agent that polls it,
/// before it reads the store itself.
const CONTENT_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Time after the start within which the agents report how many fronts there are.
const START_TIMEOUT: Micros = Micros::from_millis(500);
/// Interval of checks whether the content has arrived.
const CONTENT_CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Interval of checks for new stores.
const DISCOVERY_INTERVAL: Micros = Micros::from_millis(60);

/// Starts the tasks of each configured KV store.
pub(crate) async fn watch_kv_stores(front: Rc<FrontContext>) {
    let mut watched: HashSet<SocketAddr> = HashSet::new();
    loop {
        let known: Vec<SocketAddr> = {
            let state = front.state();
            state
                .kv_store_directory
                .views()
                .iter()
                .map(|view| view.store.address)
                .collect()
        };
        watched.retain(|address| known.contains(address));
        for address in known {
            if watched.insert(address) {
                front.spawn(watch_kv_store(front.clone(), address));
                front.spawn(reclaim_outdated_parts(front.clone(), address));
            }
        }
        Timer::after(to_duration(DISCOVERY_INTERVAL)).await;
    }
}

/// Tracks the content of a KV store while it is configured.
async fn watch_kv_store(
    front: Rc<FrontContext>,
    address: SocketAddr,
) {
    let mut client = KvClient::new(address, CALL_TIMEOUT);
    let mut skips_wait = false;
    let mut is_unreachable = false;
    let mut unknown_since: Option<Micros> = None;
    while let Some(plan) = poll_plan(&front, address) {
        if let Some(time_left) = report_time_left(&front, address) {
            front.sleep_coalesced(time_left).await;
            continue;
        }
        let next = next_change(&front, address);
        match next {
            Some(_) => unknown_since = None,
            None => {
                let since = *unknown_since.get_or_insert(front.now());
                if awaits_content(&front, since) {
                    front.sleep_coalesced(CONTENT_CHECK_INTERVAL).await;
                    continue;
                }
            }
        }
        // After a list or a pause, the clock is needed immediately, not with the next change.
        let wait = match skips_wait {
            true => Micros::ZERO,
            false => plan.wait,
        };
        let outcome = match next {
            Some(since) => read_changes(&front, &mut client, address, since, wait).await,
            None => read_full_list(&front, &mut client, address).await,
        };
        let is_response_stale = is_stale(&front, address);
        let pause = apply_outcome(&front, address, outcome, is_response_stale, plan.pause);
        skips_wait = match outcome {
            PollOutcome::Listed(_) => true,
            PollOutcome::Changes(_) => is_response_stale,
            PollOutcome::Busy => skips_wait,
            PollOutcome::Reset | PollOutcome::Unreachable => false,
        };
        let is_unreachable_now = outcome == PollOutcome::Unreachable;
        if outcome != PollOutcome::Busy && is_unreachable_now != is_unreachable {
            is_unreachable = is_unreachable_now;
            let store = address.to_string();
            log::info!(event = "kept-store", store = store.as_str(), lost = is_unreachable; "");
        }
        Timer::after(to_duration(pause)).await;
    }
}

/// Records the outcome of a request; returns the delay before the next one, which after a current
/// response is `usual_pause`.
fn apply_outcome(
    front: &FrontContext,
    address: SocketAddr,
    outcome: PollOutcome,
    is_response_stale: bool,
    usual_pause: Micros,
) -> Micros {
    match outcome {
        PollOutcome::Listed(from) => {
            set_next_change(front, address, Some(from));
            Micros::ZERO
        }
        PollOutcome::Changes(from) => {
            set_next_change(front, address, Some(from));
            match is_response_stale {
                true => Micros::ZERO,
                false => usual_pause,
            }
        }
        PollOutcome::Reset => {
            set_next_change(front, address, None);
            Micros::ZERO
        }
        PollOutcome::Busy => {
            front.metrics.increment("kept_store", "busy");
            BUSY_RETRY_DELAY
        }
        PollOutcome::Unreachable => {
            with_store_view(front, address, KvStoreView::mark_unreachable);
            usual_pause
        }
    }
}

/// Whether the content of a store, unknown since `unknown_since`, may still arrive from an agent.
fn awaits_content(
    front: &FrontContext,
    unknown_since: Micros,
) -> bool {
    let now = front.now();
    let state = front.state();
    let is_starting = state.last_digest_at.is_none() && now < START_TIMEOUT;
    let has_watchers = state.fronts > MAX_DIRECT_READERS && state.last_digest_at.is_some();
    is_starting || (has_watchers && now.since(unknown_since) < CONTENT_TIMEOUT)
}

/// Remaining time for which reports of another process replace polls by this front, if there are
/// any.
fn report_time_left(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<Micros> {
    let now = front.now();
    let mut state = front.state();
    let reported_at = state.kv_store_directory.view_mut(address)?.reported_at?;
    let time_left = (reported_at + REPORT_TTL).since(now);
    (time_left > Micros::ZERO).then_some(time_left)
}

fn next_change(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<u64> {
    front
        .state()
        .kv_store_directory
        .view_mut(address)?
        .next_change
}

fn set_next_change(
    front: &FrontContext,
    address: SocketAddr,
    next_change: Option<u64>,
) {
    with_store_view(front, address, |view| view.next_change = next_change);
}

/// How to poll a store. `None` if it is no longer configured.
fn poll_plan(
    front: &FrontContext,
    address: SocketAddr,
) -> Option<PollPlan> {
    let mut state = front.state();
    let fronts = state.fronts;
    let view = state.kv_store_directory.view_mut(address)?;
    Some(view.store.poll_plan(fronts))
}

/// Whether a store is still configured.
pub(crate) fn has_store(
    front: &FrontContext,
    address: SocketAddr,
) -> bool {
    front.state().kv_store_directory.view_mut(address).is_some()
}

/// Whether the known content is too old to be used, such as after a response that was buffered on
/// the connection while the process was paused.
fn is_stale(
    front: &FrontContext,
    address: SocketAddr,
) -> bool {
    let now = front.now();
    let mut state = front.state();
    let view = state.kv_store_directory.view_mut(address);
    view.is_some_and(|view| view.is_stale(now))
}

/// Changes the view of a store if the store is still configured.
pub(crate) fn with_store_view(
    front: &FrontContext,
    address: SocketAddr,
    change: impl FnOnce(&mut KvStoreView),
) {
    if let Some(view) = front.state().kv_store_directory.view_mut(address) {
        change(view);
    }
}
