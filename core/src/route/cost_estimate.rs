use {
    super::{EndpointLoad, InFlightLoad, RoutePolicy, RouteRequest, StoreKey, StoreState},
    crate::kv_cache::{StoreTier, PIECE_TOKENS},
    serde::{Deserialize, Serialize},
};

/// Time to compute a prompt token if the endpoint has not reported it, in microseconds.
pub const DEFAULT_TOKEN_COST: f32 = 100.0;
const BYTES_PER_KIB: f64 = 1024.0;

/// Source of the KV state for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateSource {
    /// Accelerator memory of the endpoint; the rest is computed.
    Accelerator,
    /// Imported from the memory tier of a store box; the rest is computed.
    MemoryTier,
    /// Imported from the disk tier of a store box; the rest is computed.
    DiskTier,
}

/// Estimated cost of running a request on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostEstimate {
    /// Queueing time, in microseconds.
    pub queue: f64,
    /// Time to import cached KV state, in microseconds.
    pub import: f64,
    /// Time to compute the rest of the prompt, in microseconds.
    pub compute: f64,
    /// Leading pieces available in accelerator memory.
    pub reused_pieces: u32,
    /// Pieces imported after those.
    pub imported_pieces: u32,
    /// Store box that they are imported from.
    pub store: Option<StoreKey>,
    /// Source of the KV state.
    pub source: StateSource,
    /// Prompt tokens left to compute.
    pub recomputed_tokens: u32,
    /// Weighted sum of the costs.
    pub cost: f64,
}

impl CostEstimate {
    /// Time to first token, in microseconds.
    pub fn first_token(&self) -> f64 {
        self.queue + self.import + self.compute
    }
}

/// Cached KV state that a store box has for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ImportOffer {
    /// The store box.
    pub store: StoreKey,
    /// The slowest tier among the pieces.
    pub tier: StoreTier,
    /// Number of consecutive leading pieces on the store box.
    pub pieces: u32,
}

/// Queueing time of one more request on an endpoint, in microseconds.
///
/// The load report lags, so this process's own load at the time of the report is
/// subtracted from it and its current in-flight load is added.
#[inline]
pub fn queue_time(
    load: &EndpointLoad,
    sent: InFlightLoad,
) -> f64 {
    let report = &load.report;
    let others_tokens = report.pending_tokens.saturating_sub(load.own_tokens);
    let tokens = (others_tokens + sent.tokens) as f64;
    let others_running = report.running.saturating_sub(load.own_running);
    let running = others_running + sent.running;
    let compute = tokens * token_cost(load);
    if running < report.slots {
        return compute;
    }
    let slots = f64::from(report.slots.max(1));
    let waiting = f64::from(running + 1 - report.slots);
    compute + waiting * f64::from(report.service_time) / slots
}

/// Time to compute one prompt token on an endpoint, in microseconds.
#[inline]
pub fn token_cost(load: &EndpointLoad) -> f64 {
    let cost = load.report.token_cost;
    f64::from(if cost > 0.0 { cost } else { DEFAULT_TOKEN_COST })
}

/// Time to import `bytes` from a store box, in microseconds, including the current link queue.
pub fn import_time(
    store: &StoreState,
    tier: StoreTier,
    bytes: u64,
) -> f64 {
    let link = (store.link_queue + bytes) as f64 / store.link_rate.max(1.0);
    let disk = match tier {
        StoreTier::Memory => 0.0,
        StoreTier::Disk => bytes as f64 / store.disk_rate.max(1.0),
    };
    (link + disk) * 1e6
}

/// Inputs of the cost estimate that depend on the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct CandidateState<'a> {
    /// Load of the endpoint.
    pub load: &'a EndpointLoad,
    /// Load that this process has in flight there.
    pub sent: InFlightLoad,
    /// Leading pieces in its accelerator memory.
    pub reused_pieces: u32,
    /// Best import offer for it, if any.
    pub offer: Option<PricedOffer>,
}

/// An import offer with its costs, which do not depend on the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PricedOffer {
    /// The offer of the store box.
    pub offer: ImportOffer,
    /// Time to import one piece, in microseconds.
    pub piece_time: f64,
    /// Time the import waits for the link, in microseconds.
    pub link_wait: f64,
}

impl PricedOffer {
    /// Computes the costs of an offer.
    pub fn new(
        request: &RouteRequest<'_>,
        store: &StoreState,
        offer: ImportOffer,
    ) -> Self {
        let piece_bytes = u64::from(PIECE_TOKENS) * request.token_bytes;
        let link_wait = import_time(store, StoreTier::Memory, 0);
        PricedOffer {
            offer,
            piece_time: import_time(store, offer.tier, piece_bytes) - link_wait,
            link_wait,
        }
    }
}

/// One way to obtain the KV state of a prompt: import time, tokens to compute and
/// transferred kibibytes.
#[derive(Debug, Clone, Copy)]
struct PrefillPlan {
    import: f64,
    tokens: u32,
    link_kib: f64,
}

impl PrefillPlan {
    #[inline]
    fn without_import(
        request: &RouteRequest<'_>,
        reused_pieces: u32,
    ) -> Self {
        PrefillPlan {
            import: 0.0,
            tokens: request
                .input_tokens
                .saturating_sub(reused_pieces * PIECE_TOKENS),
            link_kib: 0.0,
        }
    }

    #[inline]
    fn with_import(
        request: &RouteRequest<'_>,
        reused_pieces: u32,
        priced: &PricedOffer,
    ) -> Self {
        let imported = priced.offer.pieces - reused_pieces;
        let bytes = u64::from(imported * PIECE_TOKENS) * request.token_bytes;
        PrefillPlan {
            import: priced.link_wait + f64::from(imported) * priced.piece_time,
            link_kib: bytes as f64 / BYTES_PER_KIB,
            ..PrefillPlan::without_import(request, priced.offer.pieces)
        }
    }

    #[inline]
    fn cost(
        &self,
        request: &RouteRequest<'_>,
        load: &EndpointLoad,
        queue: f64,
        token_cost: f64,
    ) -> f64 {
        let weights = &request.weights;
        let tokens = f64::from(self.tokens);
        let first_token = queue + self.import + tokens * token_cost;
        weights.first_token * first_token * f64::from(load.penalty.max(1.0))
            + weights.recompute * tokens
            + weights.link * self.link_kib
    }
}

/// The import offer, if it covers more than accelerator memory does and the policy allows
/// imports.
#[inline]
fn usable_offer(
    candidate: &CandidateState<'_>,
    policy: RoutePolicy,
) -> Option<PricedOffer> {
    let longer = |priced: &PricedOffer| priced.offer.pieces > candidate.reused_pieces;
    candidate
        .offer
        .filter(longer)
        .filter(|_| policy != RoutePolicy::AlwaysRecompute)
}

/// Cost of a request on one endpoint with the cheapest source of KV state.
#[inline]
pub fn estimate_cost(
    request: &RouteRequest<'_>,
    candidate: &CandidateState<'_>,
    policy: RoutePolicy,
) -> f64 {
    let load = candidate.load;
    let queue = queue_time(load, candidate.sent);
    let token_cost = token_cost(load);
    let local = PrefillPlan::without_import(request, candidate.reused_pieces);
    let local_cost = local.cost(request, load, queue, token_cost);
    let Some(priced) = usable_offer(candidate, policy) else {
        return local_cost;
    };
    let import = PrefillPlan::with_import(request, candidate.reused_pieces, &priced);
    let import_cost = import.cost(request, load, queue, token_cost);
    if policy == RoutePolicy::AlwaysImport {
        import_cost
    } else {
        local_cost.min(import_cost)
    }
}

/// Same as [`estimate_cost`], but itemized.
pub fn estimate(
    request: &RouteRequest<'_>,
    candidate: &CandidateState<'_>,
    policy: RoutePolicy,
) -> CostEstimate {
    let load = candidate.load;
    let queue = queue_time(load, candidate.sent);
    let token_cost = token_cost(load);
    let itemize = |plan: PrefillPlan, offer: Option<ImportOffer>| CostEstimate {
        queue,
        import: plan.import,
        compute: f64::from(plan.tokens) * token_cost,
        reused_pieces: candidate.reused_pieces,
        imported_pieces: offer.map_or(0, |o| o.pieces - candidate.reused_pieces),
        store: offer.map(|o| o.store),
        source: state_source(offer),
        recomputed_tokens: plan.tokens,
        cost: plan.cost(request, load, queue, token_cost),
    };
    let local = PrefillPlan::without_import(request, candidate.reused_pieces);
    let local = itemize(local, None);
    let Some(priced) = usable_offer(candidate, policy) else {
        return local;
    };
    let import = PrefillPlan::with_import(request, candidate.reused_pieces, &priced);
    let import = itemize(import, Some(priced.offer));
    if policy == RoutePolicy::AlwaysImport || import.cost < local.cost {
        import
    } else {
        local
    }
}

fn state_source(offer: Option<ImportOffer>) -> StateSource {
    match offer.map(|o| o.tier) {
        None => StateSource::Accelerator,
        Some(StoreTier::Memory) => StateSource::MemoryTier,
        Some(StoreTier::Disk) => StateSource::DiskTier,
    }
}
