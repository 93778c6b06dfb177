use {
    super::EngineAgentContext,
    pitchhitch_core::serving::NamespaceTag,
    pitchhitch_platform::{KvChanges, KvClient},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::DigestPart,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Time that a call is held while nothing changes.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time limit of a call, beyond the time it is held.
const EXTRA_TIMEOUT: Duration = Duration::from_millis(600);

/// Follows what the engine keeps in its memory.
pub(crate) async fn poll_cache_changes(agent: Rc<EngineAgentContext>) {
    let mut client = KvClient::new(agent.settings.engine, EXTRA_TIMEOUT);
    let mut next = 0;
    let mut epoch = None;
    let mut known_resets = 0;
    loop {
        // Changes count from the start of the engine's life.
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
        // Asked from a number of the earlier life, it told only what is behind that.
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
