use {
    super::BesideContext,
    pitchhitch_core::serving::NamespaceTag,
    pitchhitch_platform::{KvChanges, KvClient},
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::DigestPart,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Time that a call is held while nothing changes.
const HOLD: Duration = Duration::from_secs(1);
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// Time limit of a call, beyond the time it is held.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Follows what the engine keeps in its memory.
pub(crate) async fn watch_kept(beside: Rc<BesideContext>) {
    let mut client = KvClient::new(beside.settings.engine, CALL_LIMIT);
    let mut next = 0;
    let mut epoch = None;
    let mut forgotten = 0;
    loop {
        // Changes count from the start of the engine's life.
        if beside.state().forgotten != forgotten {
            forgotten = beside.state().forgotten;
            next = 0;
        }
        if epoch.is_some() {
            let pause = beside.state().kept_pause();
            Timer::after(to_duration(pause)).await;
        }
        let Ok(changes) = client.changes(next, HOLD).await else {
            Timer::after(FAILED_PAUSE).await;
            continue;
        };
        let now = beside.now();
        if !beside.state().note_life(changes.born, now) {
            Timer::after(FAILED_PAUSE).await;
            continue;
        }
        if epoch.is_some_and(|epoch| epoch != changes.epoch) {
            log::info!(event = "engine-restarted", epoch = changes.epoch; "");
            beside.state().forget();
        }
        epoch = Some(changes.epoch);
        // Asked from a number of the earlier life, it told only what is behind that.
        if beside.state().forgotten != forgotten {
            continue;
        }
        next = changes.next;
        take_changes(&beside, &changes);
    }
}

fn take_changes(
    beside: &BesideContext,
    changes: &KvChanges,
) {
    let mut state = beside.state();
    if changes.has_gap {
        log::warn!(event = "kept-gap", next = changes.next; "");
    }
    for change in &changes.changes {
        state.push_change(DigestPart {
            wall: NamespaceTag::of(&change.salt),
            id: change.id,
            tokens: change.tokens,
        });
    }
}
