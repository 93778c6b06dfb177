use pitchhitch_core::serving::EndpointEntry;

/// Records the version of the weights that an engine has; `source` names the reporter for the log.
pub(crate) fn update_weights(
    entry: &mut EndpointEntry,
    model: &str,
    version: u64,
    source: &str,
) {
    if !entry.weights.set_version(model, version) {
        return;
    }
    // An engine drops its cached parts when it loads new weights.
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
