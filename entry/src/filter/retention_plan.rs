use {
    crate::traffic::TrafficView,
    pitchhitch_core::{
        conf::CostWeights,
        kv_cache::{PieceHolder, PieceKey, PIECE_TOKENS},
        membership::rendezvous_weight,
        place::{decide_retention, RetentionCase, RetentionDecision, ReuseLabel},
        role::prompt_identity,
        route::{import_time, token_cost, EndpointKey, EndpointState, StoreKey, StoreState},
        time::Micros,
    },
    pitchhitch_wire::messages::ExportPlan,
};

/// Most pieces that one request exports.
const MAX_EXPORTED_PIECES: usize = 128;

/// Input of [`plan_retention`].
#[derive(Debug, Clone, Copy)]
pub struct RetentionRequest<'a> {
    /// Kind of work.
    pub label: &'a ReuseLabel,
    /// Keys of the complete pieces of the prompt.
    pub pieces: &'a [PieceKey],
    /// Bytes of cached KV state per token.
    pub token_bytes: u64,
    /// Cost weights of the organisation.
    pub weights: CostWeights,
    /// Endpoint that serves the request.
    pub endpoint: EndpointKey,
}

/// Whether the state of a prompt is retained on a store box, and which pieces are exported.
#[derive(Debug, Clone, PartialEq)]
pub struct RetentionPlan {
    /// The decision.
    pub decision: RetentionDecision,
    /// The export that the agent performs after the request, if any.
    pub export: Option<ExportPlan>,
}

impl RetentionPlan {
    /// Tier of the export as written to log lines; `no` without an export.
    pub fn as_str(&self) -> &'static str {
        match &self.export {
            None => "no",
            Some(plan) => match plan.tier {
                pitchhitch_core::kv_cache::StoreTier::Memory => "memory",
                pitchhitch_core::kv_cache::StoreTier::Disk => "disk",
            },
        }
    }
}

/// Decides whether the state of a prompt is retained on a store box after the request.
pub fn plan_retention(
    view: &TrafficView,
    request: &RetentionRequest<'_>,
) -> RetentionPlan {
    let no_export = RetentionPlan {
        decision: RetentionDecision {
            tier: None,
            expected_gain: 0.0,
        },
        export: None,
    };
    let Some(state) = view.table.endpoints.get(request.endpoint) else {
        return no_export;
    };
    let Some(choice) = choose_store(view, state, request.pieces) else {
        return no_export;
    };
    let Some(identity) = prompt_identity(request.pieces) else {
        return no_export;
    };
    let missing = missing_pieces(view, request.pieces, choice.key);
    if missing.is_empty() {
        return no_export;
    }
    let decision = decide_retention(&retention_case(
        view,
        request,
        choice.state,
        missing.len() as u32,
    ));
    let export = decision.tier.map(|tier| ExportPlan {
        store: choice.state.id.clone(),
        address: choice.state.address,
        tier,
        identity,
        pieces: missing,
    });
    RetentionPlan { decision, export }
}

struct StoreChoice<'a> {
    key: StoreKey,
    state: &'a StoreState,
}

/// The store box for a prompt: chosen by rendezvous hashing among those of the endpoint's group.
fn choose_store<'a>(
    view: &'a TrafficView,
    endpoint: &EndpointState,
    pieces: &[PieceKey],
) -> Option<StoreChoice<'a>> {
    let subject = pieces.first()?.to_string();
    let stores = view
        .table
        .stores
        .iter()
        .filter(|(_, s)| s.group == endpoint.group);
    let chosen = stores.max_by_key(|(_, s)| rendezvous_weight(&subject, &s.id));
    chosen.map(|(key, state)| StoreChoice { key, state })
}

fn missing_pieces(
    view: &TrafficView,
    pieces: &[PieceKey],
    store: StoreKey,
) -> Vec<PieceKey> {
    let is_stored = |key: &&PieceKey| {
        let mut holders = view.table.pieces.holders(**key);
        holders.any(|h| matches!(h, PieceHolder::Store(copy) if copy.store == store))
    };
    pieces
        .iter()
        .filter(|key| !is_stored(key))
        .take(MAX_EXPORTED_PIECES)
        .copied()
        .collect()
}

fn retention_case(
    view: &TrafficView,
    request: &RetentionRequest<'_>,
    store: &StoreState,
    pieces: u32,
) -> RetentionCase {
    let tokens = pieces * PIECE_TOKENS;
    let load = view
        .table
        .loads
        .get(request.endpoint)
        .copied()
        .unwrap_or_default();
    let bytes = u64::from(tokens) * request.token_bytes;
    RetentionCase {
        reuse_probability: view
            .reuse_model
            .reuse_probability(request.label, Micros::ZERO),
        expected_gap: view.reuse_model.median_gap(request.label, Micros::ZERO),
        tokens,
        token_bytes: request.token_bytes,
        token_cost: token_cost(&load),
        import_time: import_time(store, pitchhitch_core::kv_cache::StoreTier::Memory, bytes),
        weights: request.weights,
    }
}
