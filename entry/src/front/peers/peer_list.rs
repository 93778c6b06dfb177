//! What a front that the platform store turns away learns of the endpoint list from its peers.

use {
    crate::front::{begin_slow_start, handle_endpoint_changes, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{EndpointChange, EndpointNotice},
        time::Micros,
    },
};

/// Time in which a read succeeds that this front makes once the list is too old.
const READ_TIME: Micros = Micros::from_millis(500);

/// When the endpoints known here were last shown to be those of the list.
pub(crate) fn list_known_at(state: &FrontState) -> Option<Micros> {
    state.list_proven_at().max(state.reported_list_at)
}

/// Whether peers have read a newer endpoint list, and this front does not succeed in reading it.
pub(crate) fn is_list_outdated(front: &FrontContext) -> bool {
    let now = front.now();
    let state = front.state();
    let max_age = front.settings.max_list_age() + READ_TIME;
    let is_old = state.list_age(now).is_some_and(|age| age > max_age);
    is_old && state.is_list_superseded(now)
}

/// Applies the endpoints on the list as a peer knew it at `list_at`, if this front's own is older and
/// it does not succeed in reading it.
pub(crate) fn apply_peer_list(
    front: &FrontContext,
    endpoints: &[EndpointNotice],
    list_at: Option<Micros>,
) {
    if !is_list_outdated(front) || list_at <= list_known_at(&front.state()) {
        return;
    }
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    state.reported_list_at = list_at;
    let reported = endpoints.iter();
    let mut changes: Vec<EndpointChange> = reported
        .filter_map(|notice| state.registry.apply_reported(notice))
        .collect();
    changes.extend(state.registry.retire_superseded());
    for change in &changes {
        let EndpointChange::Serves(id) = change else {
            continue;
        };
        if let Some(key) = state.registry.key(id) {
            // The snapshot does not show which endpoints have just started.
            begin_slow_start(state, key, None, now);
        }
    }
    drop(guard);
    let list_age = list_at.map_or(Micros::ZERO, |at| now.since(at));
    log::info!(
        event = "peer-list",
        endpoints = endpoints.len(),
        changes = changes.len(),
        list_age_ms = list_age.as_millis();
        ""
    );
    handle_endpoint_changes(front, &changes);
}
