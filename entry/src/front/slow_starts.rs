use {
    super::FrontState,
    pitchhitch_core::{serving::EndpointKey, time::Micros},
};

/// Records that an endpoint starts slowly; for the whole span of its service where it is not told
/// for how long.
pub(super) fn begin_slow_start(
    state: &mut FrontState,
    key: EndpointKey,
    left: Option<Micros>,
    now: Micros,
) {
    let span = || {
        let service = &state.book.get(key)?.service;
        Some(state.config.as_ref()?.slow_start(service)?.duration)
    };
    let Some(left) = left.or_else(span) else {
        return;
    };
    if let Some(entry) = state.book.get_mut(key) {
        entry.slow_start.begin(left, now);
    }
}
