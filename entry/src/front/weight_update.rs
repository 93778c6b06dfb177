use pitchhitch_core::serving::EndpointEntry;

/// Takes that an engine has some weights; `source` says who told it, for the log.
pub(super) fn update_weights(
    entry: &mut EndpointEntry,
    model: &str,
    version: u64,
    source: &str,
) {
    if !entry.weights.set_version(model, version) {
        return;
    }
    // New weights drop what the engine kept.
    entry.parts.clear();
    log::info!(
        event = "weights-seen",
        endpoint = entry.id.as_str(),
        model = model,
        version = version,
        source = source;
        ""
    );
}
