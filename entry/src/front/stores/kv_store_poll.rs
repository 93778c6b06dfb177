use {
    crate::front::{with_store_view, FrontContext},
    pitchhitch_core::time::Micros,
    pitchhitch_platform::{KvChange, KvClient, KvError},
    pitchhitch_process::to_duration,
    std::net::SocketAddr,
};

/// Outcome of a request to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollOutcome {
    /// Complete list, and the position from which to read changes. These are requested immediately,
    /// as the response contains the time on the engines' clock, which fetches need.
    Listed(u64),
    /// Changes, and the next position.
    Changes(u64),
    /// The complete list must be read again.
    Reset,
    /// The store accepts no more requests; its known content remains valid.
    Busy,
    /// The store does not respond.
    Unreachable,
}

/// Reads the changes since a position, which arrive within `wait`, and applies them.
pub(crate) async fn read_changes(
    front: &FrontContext,
    client: &mut KvClient,
    address: SocketAddr,
    since: u64,
    wait: Micros,
) -> PollOutcome {
    let sent_at = front.now();
    let changes = match client.changes(since, to_duration(wait)).await {
        Ok(changes) => changes,
        Err(KvError::Busy) => return PollOutcome::Busy,
        Err(KvError::Unavailable) => return PollOutcome::Unreachable,
    };
    let mut state = front.state();
    let Some(view) = state.kv_store_directory.view_mut(address) else {
        return PollOutcome::Unreachable;
    };
    if view.epoch() != Some(changes.epoch) || changes.has_gap {
        // The known content is not used until the complete list has been read.
        view.mark_unreachable();
        return PollOutcome::Reset;
    }
    view.record_response(changes.epoch, changes.clock_ms, sent_at, front.now());
    drop(state);
    apply_parts(front, address, &changes.changes);
    PollOutcome::Changes(changes.next)
}

/// Reads and applies the complete list of parts.
pub(crate) async fn read_full_list(
    front: &FrontContext,
    client: &mut KvClient,
    address: SocketAddr,
) -> PollOutcome {
    let sent_at = front.now();
    let Some(full_list) = client.list().await else {
        return PollOutcome::Unreachable;
    };
    let now = front.now();
    with_store_view(front, address, |view| {
        view.record_response(full_list.epoch, None, sent_at, now);
        view.parts.clear();
    });
    log::info!(
        event = "kept-list",
        store = address.to_string().as_str(),
        epoch = full_list.epoch,
        parts = full_list.complete.len(),
        broken = full_list.partial.len();
        ""
    );
    apply_parts(front, address, &full_list.complete);
    PollOutcome::Listed(full_list.next)
}

fn apply_parts(
    front: &FrontContext,
    address: SocketAddr,
    changes: &[KvChange],
) {
    let mut state = front.state();
    for change in changes {
        let tag = state.namespace_tag(&change.salt);
        if let Some(view) = state.kv_store_directory.view_mut(address) {
            view.set_part(tag, change.id, change.tokens);
        }
    }
}
