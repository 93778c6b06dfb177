use {
    super::{plan_retention, ParsedRequest, Refusal, RetentionPlan, RetentionRequest},
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

/// Result of the fourth filter: the endpoint of an attempt and the transfers of cached state.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedAttempt {
    /// The chosen endpoint, with estimates.
    pub choice: RouteChoice,
    /// Version that serves the request; empty for plain services.
    pub version: String,
    /// Keys of the complete pieces of the prompt.
    pub pieces: Vec<PieceKey>,
    /// Pieces that the agent imports before the request, if any.
    pub import: Option<ImportPlan>,
    /// Pieces that are retained after the request.
    pub retention: RetentionPlan,
}

/// What the previous attempts of a request mean for the current one.
#[derive(Debug, Clone, Copy)]
pub struct PreviousAttempts<'a> {
    /// Endpoints that were already tried.
    pub tried: &'a [EndpointKey],
    /// Number of the current attempt, counted from one.
    pub attempt: u32,
    /// Version that began the response; no other version may continue it.
    pub pinned_version: Option<&'a str>,
}

struct VersionChoice {
    version: String,
    pieces: Vec<PieceKey>,
    choice: RouteChoice,
}

/// Fourth filter: chooses the endpoint of an attempt.
///
/// # Errors
/// [`ErrorKind::NothingSelected`] or [`ErrorKind::NoneAvailable`].
pub fn route(
    app: &EntryApp,
    view: &TrafficView,
    parsed: &ParsedRequest,
    previous: PreviousAttempts<'_>,
) -> Result<RoutedAttempt, Refusal> {
    let best = cheapest_version(app, view, parsed, previous)?;
    let label = ReuseLabel {
        organisation: parsed.organisation.clone(),
        label: parsed.request.options.label.clone(),
    };
    let request = RetentionRequest {
        label: &label,
        pieces: &best.pieces,
        token_bytes: token_bytes(view, parsed),
        weights: cost_weights(view, parsed),
        endpoint: best.choice.endpoint,
    };
    let routed = RoutedAttempt {
        import: import_plan(view, &best.choice),
        retention: plan_retention(view, &request),
        version: best.version,
        pieces: best.pieces,
        choice: best.choice,
    };
    let record = decision_record(view, parsed, &routed, previous.attempt);
    record.log();
    app.decisions.push(record);
    Ok(routed)
}

/// Chooses an endpoint for each eligible version and returns the cheapest choice.
fn cheapest_version(
    app: &EntryApp,
    view: &TrafficView,
    parsed: &ParsedRequest,
    previous: PreviousAttempts<'_>,
) -> Result<VersionChoice, Refusal> {
    let pools = view
        .table
        .pools
        .versions(&parsed.organisation, &parsed.target);
    let mut best: Option<VersionChoice> = None;
    let mut error_kind = ErrorKind::NothingSelected;
    for pool in pools {
        let pinned_elsewhere = previous.pinned_version.is_some_and(|v| v != pool.version);
        if pinned_elsewhere {
            continue;
        }
        let pieces = prefix_keys(&parsed.organisation, &pool.version, &parsed.prompt);
        match choose_endpoint(app, view, parsed, previous, &pool.version, &pieces) {
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
            Err(ErrorKind::NoneAvailable) => error_kind = ErrorKind::NoneAvailable,
            Err(_) => {}
        }
    }
    best.ok_or_else(|| {
        let name = parsed.target.name();
        let detail = match error_kind {
            ErrorKind::NoneAvailable => format!("no endpoint for '{name}' is usable now"),
            _ => format!("the selectors admit no endpoint for '{name}'"),
        };
        Refusal::new(error_kind, detail)
    })
}

fn choose_endpoint(
    app: &EntryApp,
    view: &TrafficView,
    parsed: &ParsedRequest,
    previous: PreviousAttempts<'_>,
    version: &str,
    pieces: &[PieceKey],
) -> Result<RouteChoice, ErrorKind> {
    let request = RouteRequest {
        organisation: &parsed.organisation,
        target: &parsed.target,
        version,
        pieces,
        input_tokens: parsed.input_tokens,
        weights: cost_weights(view, parsed),
        token_bytes: token_bytes(view, parsed),
        excluded: previous.tried,
        now: app.clock.now(),
        // Request numbers start at the same value in all processes; the incarnation makes the seeds
        // differ.
        seed: parsed.request.number.wrapping_add(app.clock.incarnation()),
    };
    view.table
        .choose(&request, |endpoint| view.in_flight(endpoint))
}

fn cost_weights(
    view: &TrafficView,
    parsed: &ParsedRequest,
) -> pitchhitch_core::conf::CostWeights {
    let conf = view.table.config.organisations.get(&parsed.organisation);
    conf.map(|c| c.weights).unwrap_or_default()
}

/// Bytes of cached KV state per token of the requested model; 0 if it is not configured.
pub fn token_bytes(
    view: &TrafficView,
    parsed: &ParsedRequest,
) -> u64 {
    let conf = view.table.config.models.get(parsed.target.name());
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

fn decision_record(
    view: &TrafficView,
    parsed: &ParsedRequest,
    routed: &RoutedAttempt,
    attempt: u32,
) -> DecisionRecord {
    let name = |key: EndpointKey| {
        let state = view.table.endpoints.get(key);
        state.map_or("gone".to_string(), |s| s.id.clone())
    };
    let choice = &routed.choice;
    let estimate = &choice.estimate;
    DecisionRecord {
        request_id: parsed.request.id.clone(),
        organisation: parsed.organisation.clone(),
        target: parsed.target.name().to_string(),
        version: routed.version.clone(),
        attempt,
        chosen: name(choice.endpoint),
        runner_up: choice.runner_up.map(|r| name(r.endpoint)),
        reason: choice.reason.as_str().to_string(),
        candidates: choice.candidates,
        input_tokens: parsed.input_tokens,
        reused_tokens: estimate.reused_pieces * PIECE_TOKENS,
        imported_tokens: estimate.imported_pieces * PIECE_TOKENS,
        queue_us: estimate.queue as u64,
        import_us: estimate.import as u64,
        compute_us: estimate.compute as u64,
        runner_up_us: choice.runner_up.map(|r| r.estimate.first_token() as u64),
        keep: routed.retention.as_str().to_string(),
        revision: view.table.config.revision,
        outcome: String::new(),
    }
}
