//! Whether entries that are missing from the endpoint list may have lapsed in an outage of the
//! platform store, with their endpoints alive.

use {
    crate::front::{handle_endpoint_changes, FrontContext, FrontState},
    pitchhitch_core::{serving::REWRITE_DELAY, time::Micros},
    pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration,
    std::time::Duration,
};

/// Time beyond the timeout of a call after which this process, not the store, was late.
const STALL_MARGIN: Duration = Duration::from_millis(500);

/// End of the time for which missing entries may have lapsed.
fn doubt_until(state: &FrontState) -> Option<Micros> {
    let restored_at = state.eras.uncertain_since();
    let outage = state.list_outages.doubt_until();
    outage.max(restored_at.map(|at| at + REWRITE_DELAY))
}

/// Whether a missing entry shows that its endpoint is leaving.
pub(crate) fn is_list_reliable(
    state: &FrontState,
    now: Micros,
) -> bool {
    doubt_until(state).is_none_or(|until| now >= until)
}

/// Whether endpoints with lapsed entries still may receive requests. Any answer of the store after
/// the end of the doubt ends this, so that failed reads cannot extend it.
pub(crate) fn allows_lapsed(state: &FrontState) -> bool {
    doubt_until(state).is_some_and(|until| state.list_outages.answered_at() < Some(until))
}

/// Ends doubts about the software of endpoints that have restarted under entries that stay.
pub(crate) fn settle_software(front: &FrontContext) {
    let now = front.now();
    let mut state = front.state();
    let max_age = front.settings.max_list_age();
    let is_reliable = is_list_reliable(&state, now);
    let proven_at = state.list_proven_at().filter(|_| is_reliable);
    let proven_at = proven_at.filter(|at| now.since(*at) <= max_age);
    let lapse_time = front.settings.entry_lapse_time();
    state.registry.settle_software(proven_at, lapse_time, now);
}

/// Treats endpoints with lapsed entries as leaving once the doubt is over.
pub(crate) fn expire_lapsed_endpoints(front: &FrontContext) {
    let changes = {
        let mut state = front.state();
        match allows_lapsed(&state) {
            true => return,
            false => state.registry.expire_lapsed(),
        }
    };
    handle_endpoint_changes(front, &changes);
}

/// Records the answer to a read of the list; `is_older` is whether its content is older than that of
/// the read before.
pub(crate) fn record_list_answer(
    front: &FrontContext,
    is_older: bool,
) {
    let now = front.now();
    let mut state = front.state();
    let outage = state.list_outages.record_answered(now);
    if is_older {
        state.list_outages.record_older_content(now);
    }
    drop(state);
    log_outage(front, outage, "read");
}

/// Records the failure of a read of the list that was pending since `sent_at`.
pub(crate) fn record_list_failure(
    front: &FrontContext,
    error: &StoreError,
    timeout: Duration,
    sent_at: Micros,
) {
    let elapsed = to_duration(front.now().since(sent_at));
    let outages = &mut front.state().list_outages;
    match error.may_be_outage() && elapsed <= timeout + STALL_MARGIN {
        true => outages.record_failed(),
        false => outages.record_inconclusive(),
    }
}

/// Logs an outage of the store that has ended.
pub(crate) fn log_outage(
    front: &FrontContext,
    length: Option<Micros>,
    source: &str,
) {
    let Some(length) = length else {
        return;
    };
    front.metrics.increment("list_outages", source);
    log::warn!(
        event = "list-outage",
        outage_ms = length.as_millis(),
        source = source,
        lapsed_entries_serve_ms = REWRITE_DELAY.as_millis();
        ""
    );
}
