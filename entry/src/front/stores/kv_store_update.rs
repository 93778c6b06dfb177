use {
    crate::front::FrontState, pitchhitch_core::time::Micros,
    pitchhitch_wire::engine_agent::KvStoreUpdate,
};

/// Applies another process's read of a KV store, delayed by at most `max_delay`. If changes before
/// it are missing, the store is polled instead.
pub(crate) fn apply_kv_store_update(
    state: &mut FrontState,
    update: &KvStoreUpdate,
    max_delay: Micros,
    now: Micros,
) {
    if update.is_whole {
        return apply_content(state, update, max_delay, now);
    }
    let Some(view) = state.kv_store_directory.view_mut(update.store) else {
        return;
    };
    let next_change = view
        .next_change
        .filter(|_| view.epoch() == Some(update.epoch));
    let Some(next_change) = next_change.filter(|next_change| *next_change >= update.from) else {
        view.reported_at = None;
        return;
    };
    let sent_at = now.since(update.age + max_delay);
    let clock_ms = update
        .clock_ms
        .map(|clock| clock + update.answered.as_millis());
    view.record_poll_report(clock_ms, sent_at, now);
    for part in update.parts.iter().filter(|part| part.number > next_change) {
        view.set_part(part.namespace, part.id, part.tokens);
    }
    view.next_change = Some(next_change.max(update.next));
}

/// Applies the whole content of a store, unless it is known already.
fn apply_content(
    state: &mut FrontState,
    update: &KvStoreUpdate,
    max_delay: Micros,
    now: Micros,
) {
    for salt in &update.salts {
        state.namespace_tag(salt);
    }
    let Some(view) = state.kv_store_directory.view_mut(update.store) else {
        return;
    };
    if view.next_change.is_some() {
        return;
    }
    let sent_at = now.since(update.age + max_delay);
    let clock_ms = update
        .clock_ms
        .map(|clock| clock + update.answered.as_millis());
    view.record_response(update.epoch, clock_ms, sent_at, now);
    view.parts.clear();
    for part in &update.parts {
        view.set_part(part.namespace, part.id, part.tokens);
    }
    view.next_change = Some(update.next);
    view.reported_at = Some(now);
    let store = update.store.to_string();
    log::info!(
        event = "kept-list",
        store = store.as_str(),
        epoch = update.epoch,
        parts = update.parts.len(),
        source = "agent";
        ""
    );
}
