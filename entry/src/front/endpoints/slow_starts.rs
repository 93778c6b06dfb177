use {
    crate::front::FrontState,
    pitchhitch_core::{serving::EndpointKey, time::Micros},
};

/// Begins the slow start of an endpoint. Without a remaining time it lasts for the full duration
/// set for its service.
pub(crate) fn begin_slow_start(
    state: &mut FrontState,
    key: EndpointKey,
    time_left: Option<Micros>,
    now: Micros,
) {
    let full_duration = || {
        let service = &state.registry.get(key)?.service;
        Some(state.config.as_ref()?.slow_start(service)?.duration)
    };
    let Some(time_left) = time_left.or_else(full_duration) else {
        return;
    };
    if let Some(entry) = state.registry.get_mut(key) {
        entry.slow_start.begin(time_left, now);
    }
}
