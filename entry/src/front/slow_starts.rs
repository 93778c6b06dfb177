use {
    super::FrontState,
    pitchhitch_core::{
        serving::{EndpointKey, SlowStartRule},
        time::Micros,
    },
};

/// The rule for slow starts of the endpoint's service, if it has one.
fn slow_start_rule(
    state: &FrontState,
    key: EndpointKey,
) -> Option<SlowStartRule> {
    let config = state.config.as_ref()?;
    let service = &state.book.get(key)?.service;
    config.groups.get(service)?.slow_start
}

/// Records that an endpoint starts slowly; for the whole span of its service where it is not told
/// for how long.
pub(super) fn begin_slow_start(
    state: &mut FrontState,
    key: EndpointKey,
    left: Option<Micros>,
    now: Micros,
) {
    let span = || slow_start_rule(state, key).map(|rule| rule.span);
    let Some(left) = left.or_else(span) else {
        return;
    };
    if let Some(entry) = state.book.get_mut(key) {
        entry.slow_start.begin(left, now);
    }
}
