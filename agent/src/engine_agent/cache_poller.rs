use {
    super::EngineAgentContext,
    pitchhitch_core::serving::NamespaceTag,
    pitchhitch_platform::{KvChanges, KvClient},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::DigestPart,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Maximum duration of a long poll.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout of a poll, in addition to its maximum duration.
const EXTRA_TIMEOUT: Duration = Duration::from_millis(600);

/// Polls the changes of the engine's cache.
pub(crate) async fn poll_cache_changes(agent: Rc<EngineAgentContext>) {
    let mut client = KvClient::new(agent.settings.engine, EXTRA_TIMEOUT);
    let mut next = 0;
    let mut epoch = None;
    let mut known_resets = 0;
    loop {
        // Changes are numbered from the start of the engine's incarnation.
        if agent.state().cache_resets != known_resets {
            known_resets = agent.state().cache_resets;
            next = 0;
        }
        if epoch.is_some() {
            let interval = agent.state().cache_poll_interval();
            Timer::after(to_duration(interval)).await;
        }
        let Ok(changes) = client.changes(next, POLL_WAIT).await else {
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        let now = agent.now();
        if !agent.state().record_incarnation(changes.born, now) {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        if epoch.is_some_and(|epoch| epoch != changes.epoch) {
            log::info!(event = "engine-restarted", epoch = changes.epoch; "");
            agent.state().reset_cache();
        }
        epoch = Some(changes.epoch);
        // The engine has restarted since `next` was set: the request asked for the changes after a
        // number of the earlier incarnation, and the response lacks those up to that number.
        if agent.state().cache_resets != known_resets {
            continue;
        }
        next = changes.next;
        apply_changes(&agent, &changes);
    }
}

fn apply_changes(
    agent: &EngineAgentContext,
    changes: &KvChanges,
) {
    let mut state = agent.state();
    if changes.has_gap {
        log::warn!(event = "kept-gap", next = changes.next; "");
    }
    for change in &changes.changes {
        state.record_change(DigestPart {
            namespace: NamespaceTag::of(&change.salt),
            id: change.id,
            tokens: change.tokens,
        });
    }
}
