use crate::{
    serving::{
        mix_hashes, stable_hash, ContactStage, EndpointEntry, EndpointKey, EndpointRegistry,
        EndpointStatus, LatencyEstimator, SwapStage, WeightBounds,
    },
    time::Micros,
};

/// Percentage of a target's memory that may be in use after the move.
const TARGET_MEMORY_PERCENT: u64 = 85;

/// Input of the choice of the engine that receives a run.
#[derive(Clone, Copy)]
pub struct TargetRequest<'a> {
    /// Engine that executes the run.
    pub source: EndpointKey,
    /// Id of the request; spreads runs over engines with about the same room.
    pub request_id: &'a str,
    /// Model of the run.
    pub model: &'a str,
    /// Version of the weights of the run.
    pub version: u64,
    /// Versions that a prompt may start on: a run that resumes at another engine begins there, too.
    pub weights: WeightBounds,
    /// Memory that the run takes at its end, in tokens.
    pub tokens: u64,
    /// Whether the first choice for the request would admit the endpoint: evacuations, regions,
    /// software versions, rest and stated limits.
    pub is_eligible: &'a dyn Fn(&EndpointEntry) -> bool,
    /// Latency estimates of the engines.
    pub estimator: &'a LatencyEstimator,
    /// Current time.
    pub now: Micros,
}

/// Chooses the engine that receives a run, in the failure domain of the source if possible. Of the
/// engines with at least half of the largest room there, a hash of the request decides: if all
/// fronts chose the emptiest one, it would be full at once.
pub fn pick_target(
    registry: &EndpointRegistry,
    request: &TargetRequest<'_>,
) -> Option<EndpointKey> {
    if !request.weights.allows(Some(request.version)) {
        return None;
    }
    let source = registry.get(request.source)?;
    let software = source.known_software()?;
    let candidates = registry.iter().filter_map(|(key, entry)| {
        let is_other = key != request.source && entry.address != source.address;
        // What two versions of the software write does not fit together.
        let is_same = entry.service == source.service && entry.known_software() == Some(software);
        let is_usable = is_other && is_same && is_ready(entry, request);
        let room = is_usable.then(|| room_at(entry, request)).flatten()?;
        Some((key, entry, room))
    });
    let mut candidates: Vec<_> = candidates.collect();
    if candidates.iter().any(|(_, e, _)| e.domain == source.domain) {
        candidates.retain(|(_, e, _)| e.domain == source.domain);
    }
    let most = candidates.iter().map(|(_, _, room)| *room).max()?;
    candidates.retain(|(_, _, room)| *room >= most / 2);
    let seed = stable_hash(request.request_id);
    let best = candidates
        .iter()
        .max_by_key(|(_, entry, _)| mix_hashes(seed, stable_hash(&entry.id)));
    best.map(|(key, _, _)| *key)
}

fn is_ready(
    entry: &EndpointEntry,
    request: &TargetRequest<'_>,
) -> bool {
    entry.status == EndpointStatus::Serving
        && !entry.is_superseded
        && !entry.states_leaving
        && entry.stage == SwapStage::Idle
        && entry.weights.version(request.model) == Some(request.version)
        && !entry.guard.is_ejected(request.now)
        && !entry.may_be_unreachable(request.now)
        && entry.contact.stage() == ContactStage::Responding
        && (request.is_eligible)(entry)
}

/// Memory left after the move, in tokens; `None` without a fresh report, a free slot or room.
fn room_at(
    entry: &EndpointEntry,
    request: &TargetRequest<'_>,
) -> Option<u64> {
    let load = entry.fresh_load(request.now)?;
    let is_idle = !load.is_silent && !load.is_swapping && load.waiting == 0;
    let has_slot = entry.slots == 0 || entry.occupied(request.now) < entry.slots;
    if !is_idle || !has_slot {
        return None;
    }
    let usable = load.total_tokens * TARGET_MEMORY_PERCENT / 100;
    let used = load.used_tokens + entry.unreported_tokens(request.now, request.estimator);
    usable.checked_sub(used.saturating_add(request.tokens))
}
