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

/// Pieces that one request exports at most.
const EXPORT_LIMIT: usize = 128;

/// What a plan for keeping is made from.
#[derive(Debug, Clone, Copy)]
pub struct KeepQuestion<'a> {
    /// Kind of work.
    pub label: &'a ReuseLabel,
    /// Keys of the whole pieces of the prompt.
    pub pieces: &'a [PieceKey],
    /// Bytes of kept state for one token.
    pub token_bytes: u64,
    /// What the organisation weighs.
    pub weights: CostWeights,
    /// Who takes the request.
    pub endpoint: EndpointKey,
}

/// A decision about keeping, with the pieces to export if there are any.
#[derive(Debug, Clone, PartialEq)]
pub struct KeepPlan {
    /// The decision.
    pub decision: RetentionDecision,
    /// What the agent is to export.
    pub export: Option<ExportPlan>,
}

impl KeepPlan {
    /// The word in log lines.
    pub fn word(&self) -> &'static str {
        match &self.export {
            None => "no",
            Some(plan) => match plan.tier {
                pitchhitch_core::kv_cache::StoreTier::Memory => "memory",
                pitchhitch_core::kv_cache::StoreTier::Disk => "disk",
            },
        }
    }
}

/// Decides whether the state of a prompt is kept on a store box after it ran.
pub fn plan_keep(
    view: &TrafficView,
    question: &KeepQuestion<'_>,
) -> KeepPlan {
    let nothing = KeepPlan {
        decision: RetentionDecision {
            tier: None,
            expected_gain: 0.0,
        },
        export: None,
    };
    let Some(state) = view.table.endpoints.get(question.endpoint) else {
        return nothing;
    };
    let Some(choice) = choose_store(view, state, question.pieces) else {
        return nothing;
    };
    let Some(identity) = prompt_identity(question.pieces) else {
        return nothing;
    };
    let missing = missing_pieces(view, question.pieces, choice.key);
    if missing.is_empty() {
        return nothing;
    }
    let decision = decide_retention(&keep_case(
        view,
        question,
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
    KeepPlan { decision, export }
}

struct StoreChoice<'a> {
    key: StoreKey,
    state: &'a StoreState,
}

/// The store box of the endpoint's group that a prompt belongs on.
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
        .take(EXPORT_LIMIT)
        .copied()
        .collect()
}

fn keep_case(
    view: &TrafficView,
    question: &KeepQuestion<'_>,
    store: &StoreState,
    pieces: u32,
) -> RetentionCase {
    let tokens = pieces * PIECE_TOKENS;
    let load = view
        .table
        .loads
        .get(question.endpoint)
        .copied()
        .unwrap_or_default();
    let bytes = u64::from(tokens) * question.token_bytes;
    RetentionCase {
        reuse_probability: view
            .reuse_model
            .reuse_probability(question.label, Micros::ZERO),
        expected_gap: view.reuse_model.median_gap(question.label, Micros::ZERO),
        tokens,
        token_bytes: question.token_bytes,
        token_cost: token_cost(&load),
        import_time: import_time(store, pitchhitch_core::kv_cache::StoreTier::Memory, bytes),
        weights: question.weights,
    }
}
