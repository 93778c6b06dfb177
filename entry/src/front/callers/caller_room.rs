use {
    crate::front::FrontContext,
    pitchhitch_http1::{is_local_failure, open_connections},
    std::io::Error,
};

/// Share of the limit, in percent, below which connections count as limited no longer.
const RECOVERED_PERCENT: usize = 90;

/// Whether another connection of a caller may be accepted. At the limit, an idle one is closed for it.
pub(crate) fn admit_connection(front: &FrontContext) -> bool {
    let limit = front.capacity.for_callers();
    let open = open_connections();
    let is_full = open >= limit;
    if is_full || open < limit / 100 * RECOVERED_PERCENT {
        record_limited(front, is_full, open);
    }
    !is_full || evict_idle(front)
}

/// Closes an idle connection if the process has no room for a connection to an endpoint.
pub(crate) fn make_endpoint_room(front: &FrontContext) {
    if open_connections() >= front.capacity.total() {
        evict_idle(front);
    }
}

/// Records that a connection could not be opened for lack of descriptors, ports or memory on this
/// box; false if the error is of another kind.
pub(crate) fn record_local_failure(
    front: &FrontContext,
    error: &Error,
) -> bool {
    let is_local = is_local_failure(error);
    if is_local {
        front.metrics.increment("links", "local-failure");
        evict_idle(front);
    }
    is_local
}

/// Closes an idle connection: of a caller that has sent nothing, else to an endpoint, else of another
/// caller; false if there is none.
fn evict_idle(front: &FrontContext) -> bool {
    let idle = &front.idle_callers;
    let label = if idle.are_all_used() && front.state().pool.close_oldest() {
        "endpoint-closed"
    } else if idle.evict_oldest() {
        "evicted"
    } else {
        "no-room"
    };
    front.metrics.increment("connections", label);
    label != "no-room"
}

fn record_limited(
    front: &FrontContext,
    is_limited: bool,
    open: usize,
) {
    if front.has_limited_connections.replace(is_limited) == is_limited {
        return;
    }
    log::warn!(
        event = "connection-limit",
        limited = is_limited,
        open = open,
        idle = front.idle_callers.len(),
        limit = front.capacity.for_callers();
        ""
    );
}
