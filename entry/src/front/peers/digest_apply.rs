use {
    super::digest_receiver::engine_at,
    crate::front::{is_engine, log_return, update_weights, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{
            DigestOrder, DigestPosition, EndpointChange, EndpointEntry, EndpointKey,
            IncarnationOrder,
        },
        time::Micros,
    },
    pitchhitch_wire::engine_agent::{EngineDigest, GreetingEcho},
};

/// Applies a digest and the grant that comes with it. Returns a change if the engine has restarted.
pub(super) fn apply_digest(
    front: &FrontContext,
    digest: EngineDigest,
    grant: Option<GreetingEcho>,
) -> Option<EndpointChange> {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    if digest.endpoint.is_none() {
        // An agent that announces its engine to this front does not include this front in its
        // number of fronts.
        state.fronts = digest.fronts.max(1);
        state.front_count.record(state.fronts, now);
    }
    let key = engine_at(state, digest.engine);
    if let (Some(key), Some(echo)) = (key, grant) {
        apply_grant(state, key, echo);
    }
    let order = key.map(|key| state.registry.observe_incarnation(key, digest.born, now));
    if order == Some(IncarnationOrder::Earlier) {
        front.metrics.increment("digests", "earlier-life");
        return None;
    }
    state
        .fetch_completion
        .record_report(digest.engine, digest.clock_ms, now);
    let Some(key) = key else {
        if let Some(key) = leaving_engine_at(state, &digest) {
            notify_moves(front, key, &digest);
        }
        return None;
    };
    merge_suspects(front, state, &digest, now);
    let entry = state.registry.get_mut(key)?;
    let change = (order == Some(IncarnationOrder::Later))
        .then(|| EndpointChange::Restarts(entry.id.clone()));
    match record_position(entry, &digest, now) {
        DigestOrder::Overtaken => {
            front.metrics.increment("digests", "overtaken");
            return change;
        }
        DigestOrder::Gap => {
            // The next greeting requests all cached parts again.
            front.metrics.increment("digests", "gap");
            entry.is_mirrored = false;
            state.wants_suspects = true;
        }
        DigestOrder::Next => {}
    }
    update_load(entry, &digest, now);
    notify_moves(front, key, &digest);
    state.latency_estimators.record_report(digest.load.unread);
    apply_weights(state, key, &digest, now);
    update_parts(state.registry.get_mut(key)?, &digest);
    change
}

/// Key of the leaving engine at the address that a digest with named runs is about. It does not count
/// as present, so that the digest changes no state, but its runs are to be moved.
fn leaving_engine_at(
    state: &FrontState,
    digest: &EngineDigest,
) -> Option<EndpointKey> {
    let config = state
        .config
        .as_deref()
        .filter(|_| !digest.named_runs.is_empty())?;
    let registry = &state.registry;
    registry.departed_at(digest.engine, |entry| is_engine(config, entry))
}

/// Notifies the tasks that relay runs which are to be moved away from an engine.
fn notify_moves(
    front: &FrontContext,
    key: EndpointKey,
    digest: &EngineDigest,
) {
    for run in &digest.named_runs {
        front.moves.notify(key, run.clone());
    }
}

/// Updates what this front may send to an engine during its slow start. The grant counts from the
/// earliest time at which the digest may have been sent: the start of the round of greetings that
/// it echoes, plus the time for which the agent had the greeting.
pub(super) fn apply_grant(
    state: &mut FrontState,
    key: EndpointKey,
    echo: GreetingEcho,
) {
    let started_at = state.greetings.started_at(echo.number);
    if let (Some(started_at), Some(entry)) = (started_at, state.registry.get_mut(key)) {
        entry
            .slow_start
            .update_grant(echo.grant, started_at + echo.age);
    }
}

/// Merges reports of suspects during which endpoints crashed, in any order.
fn merge_suspects(
    front: &FrontContext,
    state: &mut FrontState,
    digest: &EngineDigest,
    now: Micros,
) {
    let had_updates = state.suspects.has_updates();
    for report in &digest.suspects {
        let was_blocked = state.suspects.is_blocked(report.key, now);
        let may_be_in_row = state.suspects.was_blocked(report.key);
        if !state.suspects.merge(report, now) {
            continue;
        }
        front.metrics.increment("suspects", "told");
        if let Some(at) = state.part_proof(report.key, now) {
            // Others may not have received an answer with this part.
            state.suspects.record_response(report.key, at);
        }
        if may_be_in_row && !state.suspects.was_blocked(report.key) {
            // The row of this front may still contain the request.
            front.blocked_row_due.wake();
        }
        let is_blocked = state.suspects.is_blocked(report.key, now);
        if is_blocked != was_blocked {
            let fingerprint = report.key.to_string();
            log::info!(
                event = "suspect-told",
                fingerprint = fingerprint.as_str(),
                held = is_blocked,
                crashes = report.crashes.len();
                ""
            );
        }
    }
    if !had_updates && state.suspects.has_updates() {
        front.greeting_due.wake();
    }
    if digest.has_all_suspects {
        if !state.has_suspect_reports {
            let known = state.suspects.len();
            log::info!(event = "suspects-known", suspects = known, after_ms = now.as_millis(); "");
        }
        state.has_suspect_reports = true;
        state.wants_suspects = false;
    }
}

fn record_position(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
    now: Micros,
) -> DigestOrder {
    let position = DigestPosition {
        incarnation: digest.incarnation,
        number: digest.number,
        changes: digest.changes,
        at: now,
    };
    entry.incarnation.record_digest(position, digest.is_change)
}

fn update_load(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
    now: Micros,
) {
    let was_silent = entry.load.is_some_and(|load| load.is_silent);
    let mut load = digest.load;
    load.at = now;
    entry.load = Some(load);
    if !load.is_silent {
        let ended_silence = entry.contact.record_report(load.again_within, now);
        if let Some(silence) = ended_silence {
            log_return(&entry.id, silence, "digest");
        }
    }
    if load.is_silent != was_silent {
        log::info!(
            event = "engine-silent",
            endpoint = entry.id.as_str(),
            silent = load.is_silent,
            digest = digest.number;
            ""
        );
    }
}

fn apply_weights(
    state: &mut FrontState,
    key: EndpointKey,
    digest: &EngineDigest,
    now: Micros,
) {
    let proven_at = state.key_freshness.proven_at();
    let Some(entry) = state.registry.get_mut(key) else {
        return;
    };
    for (model, version) in &digest.weights {
        if state
            .planner
            .record_engine_version(model, *version, proven_at, now)
        {
            log::warn!(
                event = "weights-named",
                model = model.as_str(),
                version = *version,
                source = "engine",
                endpoint = entry.id.as_str();
                ""
            );
        }
        update_weights(entry, model, *version, "digest");
    }
}

fn update_parts(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
) {
    if digest.cache_reset {
        entry.parts.clear();
    }
    entry.is_mirrored |= digest.is_whole;
    for part in &digest.parts {
        entry.parts.set(part.namespace, part.id, part.tokens);
    }
}
