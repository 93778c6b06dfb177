use {
    super::{EndpointLoad, RoutePolicy, RouteRequest, SentLoad, StoreKey, StoreState},
    crate::kept::{StoreTier, PIECE_TOKENS},
    serde::{Deserialize, Serialize},
};

/// Cost of a prompt token where no endpoint has reported one yet, in microseconds.
pub const DEFAULT_TOKEN_COST: f32 = 100.0;
const BYTES_PER_KIB: f64 = 1024.0;

/// Where the prompt state of a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateSource {
    /// Whatever accelerator memory has; the rest is computed.
    Accelerator,
    /// Imported from the memory tier of a store box; the rest is computed.
    MemoryTier,
    /// Imported from the disk tier of a store box; the rest is computed.
    DiskTier,
}

/// What one endpoint would cost a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostEstimate {
    /// Microseconds until work on the request starts.
    pub queue: f64,
    /// Microseconds for importing kept state.
    pub import: f64,
    /// Microseconds for computing the rest of the prompt.
    pub compute: f64,
    /// Pieces found in accelerator memory.
    pub reused_pieces: u32,
    /// Pieces that would be imported after those.
    pub imported_pieces: u32,
    /// Store box to import from.
    pub store: Option<StoreKey>,
    /// Where the state comes from.
    pub source: StateSource,
    /// Prompt tokens that would be computed.
    pub recomputed_tokens: u32,
    /// Weighted sum of the costs.
    pub cost: f64,
}

impl CostEstimate {
    /// Microseconds until the first token.
    pub fn first_token(&self) -> f64 {
        self.queue + self.import + self.compute
    }
}

/// Kept state that a store box could give for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ImportOffer {
    /// The store box.
    pub store: StoreKey,
    /// The slowest tier among the pieces.
    pub tier: StoreTier,
    /// Leading pieces that it holds without a gap.
    pub pieces: u32,
}

/// Microseconds until an endpoint starts on one more request.
///
/// The report lags: what this process had sent when it came is taken out of it
/// and what this process has sent by now is put in.
pub fn queue_time(
    load: &EndpointLoad,
    sent: SentLoad,
) -> f64 {
    let report = &load.report;
    let others_tokens = report.pending_tokens.saturating_sub(load.own_tokens);
    let tokens = (others_tokens + sent.tokens) as f64;
    let others_running = report.running.saturating_sub(load.own_running);
    let running = others_running + sent.running;
    let waiting = (running + 1).saturating_sub(report.slots.max(1)) as f64;
    let slot_wait = waiting * report.service_time as f64 / report.slots.max(1) as f64;
    tokens * token_cost(load) + slot_wait
}

/// Microseconds that one prompt token takes on an endpoint.
pub fn token_cost(load: &EndpointLoad) -> f64 {
    let cost = load.report.token_cost;
    f64::from(if cost > 0.0 { cost } else { DEFAULT_TOKEN_COST })
}

/// Microseconds for importing so many bytes, the link's present queue included.
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

/// Estimates one endpoint for a request, by the cheapest source of its state.
pub fn estimate(
    request: &RouteRequest<'_>,
    load: &EndpointLoad,
    sent: SentLoad,
    reused_pieces: u32,
    offer: Option<(&StoreState, ImportOffer)>,
    policy: RoutePolicy,
) -> CostEstimate {
    let queue = queue_time(load, sent);
    let plain = without_import(request, load, queue, reused_pieces);
    let Some((store, offer)) = offer else {
        return plain;
    };
    if offer.pieces <= reused_pieces || policy == RoutePolicy::AlwaysRecompute {
        return plain;
    }
    let import = with_import(request, load, queue, reused_pieces, store, offer);
    let forced = policy == RoutePolicy::AlwaysImport;
    if forced || import.cost < plain.cost {
        import
    } else {
        plain
    }
}

fn without_import(
    request: &RouteRequest<'_>,
    load: &EndpointLoad,
    queue: f64,
    reused_pieces: u32,
) -> CostEstimate {
    let mut plain = CostEstimate {
        queue,
        import: 0.0,
        compute: 0.0,
        reused_pieces,
        imported_pieces: 0,
        store: None,
        source: StateSource::Accelerator,
        recomputed_tokens: request
            .input_tokens
            .saturating_sub(reused_pieces * PIECE_TOKENS),
        cost: 0.0,
    };
    plain.compute = f64::from(plain.recomputed_tokens) * token_cost(load);
    plain.cost = weighted(request, load, &plain, 0);
    plain
}

fn with_import(
    request: &RouteRequest<'_>,
    load: &EndpointLoad,
    queue: f64,
    reused_pieces: u32,
    store: &StoreState,
    offer: ImportOffer,
) -> CostEstimate {
    let mut import = without_import(request, load, queue, offer.pieces);
    let imported = offer.pieces - reused_pieces;
    let bytes = u64::from(imported * PIECE_TOKENS) * request.token_bytes;
    import.reused_pieces = reused_pieces;
    import.imported_pieces = imported;
    import.import = import_time(store, offer.tier, bytes);
    import.store = Some(offer.store);
    import.source = match offer.tier {
        StoreTier::Memory => StateSource::MemoryTier,
        StoreTier::Disk => StateSource::DiskTier,
    };
    import.cost = weighted(request, load, &import, bytes);
    import
}

fn weighted(
    request: &RouteRequest<'_>,
    load: &EndpointLoad,
    estimate: &CostEstimate,
    link_bytes: u64,
) -> f64 {
    let weights = &request.weights;
    let wait = estimate.first_token() * f64::from(load.penalty.max(1.0));
    weights.first_token * wait
        + weights.recompute * f64::from(estimate.recomputed_tokens)
        + weights.link * link_bytes as f64 / BYTES_PER_KIB
}
