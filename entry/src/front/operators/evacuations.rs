use {
    crate::front::{begin_slow_start, FrontContext},
    pitchhitch_core::serving::{EndpointKey, EvacuationChange},
};

/// Logs the start or end of the evacuation of failure domains. Endpoints of a domain that serves
/// again have been idle, so they start slowly.
pub(crate) fn apply_evacuations(
    front: &FrontContext,
    changes: &[EvacuationChange],
    source: &str,
) {
    for change in changes {
        let (change_name, domain) = match change {
            EvacuationChange::Begins(domain) => ("begins", domain),
            EvacuationChange::Ends(domain) => ("ends", domain),
        };
        let now = front.now();
        let mut guard = front.state();
        let state = &mut *guard;
        let members = state
            .registry
            .iter()
            .filter(|(_, entry)| entry.domain == *domain);
        let members: Vec<EndpointKey> = members.map(|(key, _)| key).collect();
        if change_name == "ends" {
            for key in &members {
                begin_slow_start(state, *key, None, now);
            }
        }
        log::warn!(
            event = "evacuation",
            domain = domain.as_str(),
            change = change_name,
            endpoints = members.len(),
            source = source;
            ""
        );
        front.metrics.increment("evacuations", change_name);
    }
}
