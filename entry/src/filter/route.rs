use {
    super::{plan_keep, KeepPlan, KeepQuestion, Refusal, SelectedWork},
    crate::{
        explain::DecisionRecord,
        traffic::{EntryApp, TrafficView},
    },
    pitchhitch_core::{
        errors::ErrorKind,
        kv_cache::{prefix_keys, PieceKey, PIECE_TOKENS},
        place::ReuseLabel,
        route::{EndpointKey, RouteChoice, RouteRequest},
    },
    pitchhitch_wire::messages::{ImportPlan, PinnedPiece},
};

/// Fourth filter's result: where a try goes and with what.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedTry {
    /// The decision.
    pub choice: RouteChoice,
    /// Version that answers; empty for plain services.
    pub version: String,
    /// Keys of the whole pieces of the prompt.
    pub pieces: Vec<PieceKey>,
    /// What the agent imports first.
    pub import: Option<ImportPlan>,
    /// What is kept afterwards.
    pub keep: KeepPlan,
}

/// What has happened to a request before this try.
#[derive(Debug, Clone, Copy)]
pub struct EarlierTries<'a> {
    /// Endpoints that were tried.
    pub tried: &'a [EndpointKey],
    /// Number of this try, counted from one.
    pub attempt: u32,
    /// Version that an answer has begun with; another must not go on with it.
    pub pinned_version: Option<&'a str>,
}

struct VersionChoice {
    version: String,
    pieces: Vec<PieceKey>,
    choice: RouteChoice,
}

/// Fourth filter: which endpoint takes the request.
///
/// # Errors
/// [`ErrorKind::NothingSelected`] or [`ErrorKind::NoneAvailable`].
pub fn route(
    app: &EntryApp,
    view: &TrafficView,
    work: &SelectedWork,
    earlier: EarlierTries<'_>,
) -> Result<RoutedTry, Refusal> {
    let best = best_version(app, view, work, earlier)?;
    let label = ReuseLabel {
        organisation: work.organisation.clone(),
        label: work.request.marks.label.clone(),
    };
    let question = KeepQuestion {
        label: &label,
        pieces: &best.pieces,
        token_bytes: token_bytes(view, work),
        weights: weights(view, work),
        endpoint: best.choice.endpoint,
    };
    let routed = RoutedTry {
        import: import_plan(view, &best.choice),
        keep: plan_keep(view, &question),
        version: best.version,
        pieces: best.pieces,
        choice: best.choice,
    };
    let record = record_of(view, work, &routed, earlier.attempt);
    record.log();
    app.ring.push(record);
    Ok(routed)
}

/// Tries every version that may answer and takes the cheapest choice.
fn best_version(
    app: &EntryApp,
    view: &TrafficView,
    work: &SelectedWork,
    earlier: EarlierTries<'_>,
) -> Result<VersionChoice, Refusal> {
    let pools = view.table.pools.versions(&work.organisation, &work.target);
    let mut best: Option<VersionChoice> = None;
    let mut worst_error = ErrorKind::NothingSelected;
    for pool in pools {
        let pinned_elsewhere = earlier.pinned_version.is_some_and(|v| v != pool.version);
        if pinned_elsewhere {
            continue;
        }
        let pieces = prefix_keys(&work.organisation, &pool.version, &work.prompt);
        match choose(app, view, work, earlier, &pool.version, &pieces) {
            Ok(choice) => {
                let cheaper = best
                    .as_ref()
                    .is_none_or(|b| choice.estimate.cost < b.choice.estimate.cost);
                if cheaper {
                    best = Some(VersionChoice {
                        version: pool.version.clone(),
                        pieces,
                        choice,
                    });
                }
            }
            Err(ErrorKind::NoneAvailable) => worst_error = ErrorKind::NoneAvailable,
            Err(_) => {}
        }
    }
    best.ok_or_else(|| {
        let name = work.target.name();
        let detail = match worst_error {
            ErrorKind::NoneAvailable => format!("no endpoint for '{name}' is usable now"),
            _ => format!("the selectors admit no endpoint for '{name}'"),
        };
        Refusal::new(worst_error, detail)
    })
}

fn choose(
    app: &EntryApp,
    view: &TrafficView,
    work: &SelectedWork,
    earlier: EarlierTries<'_>,
    version: &str,
    pieces: &[PieceKey],
) -> Result<RouteChoice, ErrorKind> {
    let request = RouteRequest {
        organisation: &work.organisation,
        target: &work.target,
        version,
        pieces,
        input_tokens: work.input_tokens,
        weights: weights(view, work),
        token_bytes: token_bytes(view, work),
        excluded: earlier.tried,
        now: app.clock.now(),
        // Processes that count from the same number must not choose alike.
        seed: work.request.number.wrapping_add(app.clock.incarnation()),
    };
    view.table
        .choose(&request, |endpoint| view.in_flight(endpoint))
}

fn weights(
    view: &TrafficView,
    work: &SelectedWork,
) -> pitchhitch_core::conf::CostWeights {
    let conf = view.table.config.organisations.get(&work.organisation);
    conf.map(|c| c.weights).unwrap_or_default()
}

/// Bytes of kept state for one token of the model that is asked for.
pub fn token_bytes(
    view: &TrafficView,
    work: &SelectedWork,
) -> u64 {
    let conf = view.table.config.models.get(work.target.name());
    conf.map_or(0, |m| m.token_bytes)
}

fn import_plan(
    view: &TrafficView,
    choice: &RouteChoice,
) -> Option<ImportPlan> {
    let store = view.table.stores.get(choice.estimate.store?)?;
    let pieces = choice.imports.iter().map(|import| PinnedPiece {
        key: import.key,
        generation: import.generation,
    });
    Some(ImportPlan {
        store: store.id.clone(),
        address: store.address,
        pieces: pieces.collect(),
    })
}

fn record_of(
    view: &TrafficView,
    work: &SelectedWork,
    routed: &RoutedTry,
    attempt: u32,
) -> DecisionRecord {
    let name = |key: EndpointKey| {
        let state = view.table.endpoints.get(key);
        state.map_or("gone".to_string(), |s| s.id.clone())
    };
    let choice = &routed.choice;
    let estimate = &choice.estimate;
    DecisionRecord {
        request_id: work.request.id.clone(),
        organisation: work.organisation.clone(),
        target: work.target.name().to_string(),
        version: routed.version.clone(),
        attempt,
        chosen: name(choice.endpoint),
        runner_up: choice.runner_up.map(|r| name(r.endpoint)),
        reason: choice.reason.as_str().to_string(),
        candidates: choice.candidates,
        input_tokens: work.input_tokens,
        reused_tokens: estimate.reused_pieces * PIECE_TOKENS,
        imported_tokens: estimate.imported_pieces * PIECE_TOKENS,
        queue_us: estimate.queue as u64,
        import_us: estimate.import as u64,
        compute_us: estimate.compute as u64,
        runner_up_us: choice.runner_up.map(|r| r.estimate.first_token() as u64),
        keep: routed.keep.word().to_string(),
        revision: view.table.config.revision,
        outcome: String::new(),
    }
}
