use {
    super::endpoint_estimate::estimate_choice,
    crate::serving::{
        ContactStage, CostTerms, EndpointEntry, EndpointKey, EndpointRegistry, EndpointStatus,
        EnginePool, LatencyEstimator, MechanismSet, NamespaceTag, PartAvailability, PromptInfo,
        PromptPlan, PromptPools, PromptSize, ServingMechanism, SwapStage, WeightBounds,
    },
    crate::{retry::OutlierGuard, time::Micros},
};

/// Cost of another failure domain, in milliseconds: the round trip and the price of the traffic.
const CROSS_DOMAIN_COST_MS: f64 = 5.0;
/// Cost of opening a connection, in milliseconds: a round trip, and work at both ends. With many
/// boxes that each use all engines, half of the requests would open one without this cost.
const NEW_CONNECTION_COST_MS: f64 = 4.0;
/// Bonus of the home engine per shared token that it has neither cached nor can fetch, as a
/// multiple of its prefill time. Boxes that do not know each other's choices then prefill the part
/// on the same engine, once.
const HOME_PREFILL_FACTOR: f64 = 1.0;
/// Bonus of the home engine per shared token, cached or not, as a multiple of its prefill time: a
/// part that many engines cache displaces others.
const HOME_SHARED_FACTOR: f64 = 0.25;
/// Longest answer that is sent to a draining engine, as a fraction of the typical answer.
const SHORT_ANSWER_FRACTION: f64 = 0.5;

/// Difference in cost, as a fraction of the target latency, that is accepted to spread requests that
/// have left an endpoint: all boxes send theirs at the same moment, and none knows of the others'.
const SPREAD_TOLERANCE: f64 = 0.5;
/// Difference in cost, in milliseconds, that is accepted to keep two suspect requests apart: about
/// one more running request.
const TRIAL_COST_TOLERANCE_MS: f64 = 15.0;

/// Input of the choice of an endpoint.
#[derive(Clone, Copy)]
pub struct PickRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Failure domain of this box.
    pub domain: &'a str,
    /// Prompt, if the service has model engines.
    pub prompt: Option<&'a PromptInfo>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that the request has already been sent to.
    pub tried: &'a [EndpointKey],
    /// Size class of the prompt.
    pub size: PromptSize,
    /// Target time until the answer starts.
    pub target_latency: Micros,
    /// Engines reserved for short prompts.
    pub pools: &'a PromptPools,
    /// Latency estimates of the engines.
    pub estimator: &'a LatencyEstimator,
    /// Set for a suspect request, during which endpoints have crashed.
    pub trial: Option<TrialRequest<'a>>,
    /// Whether an endpoint may receive the request: its failure domain is not evacuated, its region
    /// is allowed, and slow start permits another request.
    pub is_eligible: &'a dyn Fn(&EndpointEntry) -> bool,
    /// Whether there is an open, unused connection to an endpoint.
    pub is_connected: &'a dyn Fn(EndpointKey) -> bool,
    /// Versions of the weights that the prompt may start on.
    pub weights: WeightBounds,
    /// Disabled mechanisms.
    pub disabled: MechanismSet,
    /// Current time.
    pub now: Micros,
}

/// Constraints on the endpoint for a suspect request.
#[derive(Debug, Clone, Copy)]
pub struct TrialRequest<'a> {
    /// Hash of the suspect, which selects among endpoints of about the same cost, so that retries
    /// of a request are sent to the same endpoint. When cost alone decided, a harmless request ran
    /// next to other suspects on two endpoints that crashed, and was blocked.
    pub suspect_hash: u64,
    /// Whether the request runs without other suspects on its endpoint, because two endpoints have
    /// crashed during it: then the hash alone decides. Before that, most suspects are harmless:
    /// when the hash alone decided for them too, requests that crashes had interrupted prefilled
    /// many shared parts again.
    pub is_exclusive: bool,
    /// Endpoints that cannot accept a suspect request.
    pub excluded: &'a [EndpointKey],
    /// Minimum number of available endpoints, so that a suspect request cannot crash the last one.
    pub min_endpoints: u32,
}

/// The chosen endpoint, and the estimates that led to the choice.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointChoice {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Terms of its cost.
    pub cost: CostTerms,
    /// Pool of the engine.
    pub pool: EnginePool,
    /// Time that the engine takes compared with the median of its service.
    pub rate: f64,
    /// Tokens of other requests that the endpoint prefills first.
    pub ahead_tokens: f64,
    /// Prefill time of these tokens at this engine, in milliseconds.
    pub ahead_ms: f64,
    /// Expected time until the answer starts, without the request's own prefill, according to
    /// recent prompts, in milliseconds.
    pub queue_ms: f64,
    /// Requests that wait at the endpoint for a slot or memory.
    pub waiting: u32,
    /// Memory for further prompts, in tokens, if known.
    pub free_tokens: Option<u64>,
    /// Memory of running requests, in tokens; 0 if unknown.
    pub used_tokens: u64,
    /// Total memory, in tokens; 0 if unknown.
    pub total_tokens: u64,
    /// Tokens that it has to prefill for the request.
    pub prefill_tokens: u32,
    /// Parts that it has cached, and parts that it fetches.
    pub plan: PromptPlan,
    /// Tokens of shared parts.
    pub shared_tokens: u32,
    /// Tokens of shared parts that it has to prefill.
    pub shared_prefill_tokens: u32,
    /// Expected version of the weights.
    pub version: Option<u64>,
    /// Number of endpoints that were compared.
    pub candidates: u32,
    /// Whether it is believed to have a free slot.
    pub has_free_slot: bool,
}

/// Availability of a prompt's parts for one version of the weights.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionAvailability {
    /// Version of the weights.
    pub version: u64,
    /// Tag of the cache namespace of this version.
    pub namespace: NamespaceTag,
    /// Shared parts and where they can be fetched from.
    pub parts: Vec<PartAvailability>,
}

/// Chooses an endpoint. `availabilities` has one entry for each version of the weights that an
/// engine has.
pub fn pick_endpoint(
    registry: &EndpointRegistry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
) -> Option<EndpointChoice> {
    let is_long = request.prompt.is_some_and(|prompt| {
        f64::from(prompt.tokens_out) > request.estimator.answer_tokens() * SHORT_ANSWER_FRACTION
    });
    let is_suitable = |entry: &EndpointEntry| {
        let is_draining = entry.stage == SwapStage::Draining;
        is_healthy(entry, request) && !(is_long && is_draining)
    };
    if has_left_unresponsive(registry, request) {
        // Engines may stop together: the others may just not have been found out yet.
        let is_reporting =
            |entry: &EndpointEntry| is_suitable(entry) && !entry.is_report_overdue(request.now);
        let reporting = pick_best(registry, request, availabilities, &is_reporting, true);
        if reporting.is_some() {
            return reporting;
        }
    }
    let healthy = pick_best(registry, request, availabilities, &is_suitable, false);
    if healthy.is_some() || request.trial.is_some() {
        return healthy;
    }
    // No endpoint is known to be healthy: falls back to any that may be.
    pick_best(registry, request, availabilities, &|_| true, false)
}

/// Whether the request has been sent to an endpoint that does not respond.
fn has_left_unresponsive(
    registry: &EndpointRegistry,
    request: &PickRequest<'_>,
) -> bool {
    let mut tried = request.tried.iter().filter_map(|key| registry.get(*key));
    tried.any(|entry| entry.contact.stage() != ContactStage::Responding)
}

fn is_healthy(
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
) -> bool {
    let now = request.now;
    let load = entry.fresh_load(now);
    let is_unavailable = load.is_some_and(|load| load.is_silent || load.is_swapping);
    let is_loading = entry.stage == SwapStage::Loading;
    let may_be_unreachable =
        !request.disabled.contains(ServingMechanism::Suspicion) && entry.may_be_unreachable(now);
    !is_unavailable
        && !is_loading
        && !may_be_unreachable
        && !outlier_guard(entry, request).is_ejected(now)
}

/// Outlier guard of the endpoint; one without failures if the mechanism is disabled.
fn outlier_guard(
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
) -> OutlierGuard {
    match request.disabled.contains(ServingMechanism::OutlierGuard) {
        true => OutlierGuard::default(),
        false => entry.guard,
    }
}

/// Chooses among the allowed endpoints: the one of the lowest cost or, if `spreads`, one of similar
/// cost.
fn pick_best(
    registry: &EndpointRegistry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
    is_allowed: &dyn Fn(&EndpointEntry) -> bool,
    spreads: bool,
) -> Option<EndpointChoice> {
    let home = home_hash(request);
    let token_ms = request.estimator.token_ms();
    let mut best_home: Option<(u64, EndpointKey)> = None;
    let mut eligible = Vec::new();
    for (key, entry) in registry.iter() {
        let serves = entry.service == request.service
            && entry.status != EndpointStatus::Leaving
            && !entry.is_superseded
            && entry.contact.stage() == ContactStage::Responding;
        let version = request.prompt.and_then(|p| entry.weights.version(&p.model));
        let is_excluded = !request.weights.allows(version) || request.tried.contains(&key);
        if !serves || is_excluded || !(request.is_eligible)(entry) || !is_allowed(entry) {
            continue;
        }
        let score = hash_with_seed(home, &entry.id);
        if best_home.is_none_or(|(other, _)| score > other) {
            best_home = Some((score, key));
        }
        eligible.push((key, entry));
    }
    if let Some(trial) = &request.trial {
        if (eligible.len() as u32) < trial.min_endpoints {
            return None;
        }
        eligible.retain(|(key, _)| !trial.excluded.contains(key));
        let choices = eligible.iter().map(|(key, entry)| EndpointChoice {
            candidates: eligible.len() as u32,
            ..estimate_choice(*key, entry, request, availabilities)
        });
        return pick_for_trial(registry, trial, choices.collect());
    }
    let candidates = eligible.len() as u32;
    let choices = eligible.into_iter().map(|(key, entry)| {
        let mut choice = estimate_choice(key, entry, request, availabilities);
        choice.candidates = candidates;
        add_box_terms(&mut choice, entry, request);
        if best_home.is_some_and(|(_, home_key)| home_key == key) {
            let terms = &mut choice.cost;
            terms.home -= f64::from(choice.shared_prefill_tokens) * token_ms * HOME_PREFILL_FACTOR;
            terms.home -= f64::from(choice.shared_tokens) * token_ms * HOME_SHARED_FACTOR;
        }
        choice
    });
    match spreads {
        true => pick_spread(registry, request, choices.collect()),
        false => choices.min_by(|one, other| one.cost.total().total_cmp(&other.cost.total())),
    }
}

/// Adds the terms of the cost that depend on this box.
fn add_box_terms(
    choice: &mut EndpointChoice,
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
) {
    let terms = &mut choice.cost;
    terms.penalty = f64::from(outlier_guard(entry, request).penalty(request.now));
    if entry.domain != request.domain {
        terms.domain = CROSS_DOMAIN_COST_MS;
    }
    if !(request.is_connected)(choice.key) {
        terms.connection = NEW_CONNECTION_COST_MS;
    }
}

/// Chooses among endpoints of similar cost by a hash of the request.
fn pick_spread(
    registry: &EndpointRegistry,
    request: &PickRequest<'_>,
    mut choices: Vec<EndpointChoice>,
) -> Option<EndpointChoice> {
    let costs = choices.iter().map(|choice| choice.cost.total());
    let lowest = costs.fold(f64::INFINITY, f64::min);
    let tolerance_ms = request.target_latency.as_millis() as f64 * SPREAD_TOLERANCE;
    choices.retain(|choice| choice.cost.total() <= lowest + tolerance_ms);
    let own_part = request.prompt.and_then(|prompt| prompt.parts.last());
    let seed = own_part.map_or(0, |part| part.id.value());
    let score = |choice: &EndpointChoice| {
        let entry = registry.get(choice.key);
        entry.map(|entry| hash_with_seed(seed, &entry.id))
    };
    choices.into_iter().max_by_key(score)
}

/// Chooses the endpoint for a suspect request.
fn pick_for_trial(
    registry: &EndpointRegistry,
    trial: &TrialRequest<'_>,
    mut choices: Vec<EndpointChoice>,
) -> Option<EndpointChoice> {
    let estimates = choices.iter().map(|choice| choice.cost.endpoint_cost());
    let lowest = estimates.fold(f64::INFINITY, f64::min);
    if !trial.is_exclusive {
        choices.retain(|choice| choice.cost.endpoint_cost() <= lowest + TRIAL_COST_TOLERANCE_MS);
    }
    let score = |choice: &EndpointChoice| {
        let entry = registry.get(choice.key);
        entry.map(|entry| hash_with_seed(trial.suspect_hash, &entry.id))
    };
    choices.into_iter().max_by_key(score)
}

/// Hash that selects a prompt's home engine: the id of its last shared part, or of its only part.
fn home_hash(request: &PickRequest<'_>) -> u64 {
    let parts = request.prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|index| parts.get(index));
    shared.or(parts.last()).map_or(0, |part| part.id.value())
}

/// Hashes a text with a seed; the results are evenly distributed.
fn hash_with_seed(
    seed: u64,
    text: &str,
) -> u64 {
    let mut hash = seed ^ 0x9e37_79b9_7f4a_7c15;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 31;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 29)
}
