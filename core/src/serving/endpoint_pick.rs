use {
    super::{
        plan_prompt, EndpointRegistry, EndpointEntry, EndpointKey, EndpointStatus, LatencyEstimator,
        MechanismSet, PartAvailability, PromptInfo, PromptPlan, ServingMechanism, SwapStage, NamespaceTag,
        WeightBounds,
    },
    crate::{retry::OutlierGuard, time::Micros},
};

/// Cost of crossing to another failure domain, in milliseconds: the way there
/// and back, and the price of the bytes.
const CROSS_DOMAIN_COST_MS: f64 = 5.0;
/// Cost of opening a connection, in milliseconds: a round trip, and work at both ends. Many
/// boxes that each use all engines would have half of their requests open one.
const NEW_CONNECTION_COST_MS: f64 = 4.0;
/// Cost of each request that runs, as it slows each step down: this part of what
/// it takes to read a usual prompt.
const RUNNING_REQUEST_FACTOR: f64 = 0.02;
/// What the home of a prompt gets ahead for each shared token that nobody has
/// read, in times of reading it: boxes that know nothing of each other's choices
/// then read it at the same place, once.
const HOME_PREFILL_FACTOR: f64 = 1.0;
/// What the home gets ahead for each shared token in any case, in times of reading
/// it: a part that many engines hold takes the room of others.
const HOME_SHARED_FACTOR: f64 = 0.25;
/// Cost of a token that is fetched, beyond its time, in times of reading it: the
/// price of the move, and the room that it takes from others.
const FETCH_COST_FACTOR: f64 = 0.25;
/// Cost of an engine that has no place free, in milliseconds.
const NO_SLOT_COST_MS: f64 = 800.0;
/// Cost of memory that is short, for each token, in times of reading it: requests
/// that run are put back and read anew.
const MISSING_MEMORY_FACTOR: f64 = 2.0;
/// Cost of reading a token of a shared part, beyond the time that it takes, in
/// times of reading it: what an engine reads again costs some fifty fetches.
const SHARED_PREFILL_FACTOR: f64 = 1.0;
/// Cost of weights that newer ones are named for, in milliseconds: what they
/// make is worth less and less.
const OLD_WEIGHTS_COST_MS: f64 = 12.0;
/// Longest answer that goes to an engine which ends its long runs, as a part of
/// the usual answer.
const SHORT_ANSWER_FRACTION: f64 = 0.5;
/// Cost of one request that a plain service holds already, in milliseconds.
const PLAIN_REQUEST_COST_MS: f64 = 12.0;

/// Difference in cost, in milliseconds, that is not worth meeting another suspect: about a
/// request that runs beside it.
const TRIAL_COST_TOLERANCE_MS: f64 = 15.0;

/// What is looked for.
#[derive(Clone, Copy)]
pub struct PickRequest<'a> {
    /// Service that the route leads to.
    pub service: &'a str,
    /// Failure domain of this box.
    pub domain: &'a str,
    /// Prompt, where the service is of model engines.
    pub prompt: Option<&'a PromptInfo>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that this request has been to.
    pub tried: &'a [EndpointKey],
    /// What is learned of the engines.
    pub estimator: &'a LatencyEstimator,
    /// Set where endpoints have ended under the request.
    pub trial: Option<TrialRequest<'a>>,
    /// Whether an endpoint may get the request at all: its failure domain serves, it is in a region
    /// where the request may run, and it bears one more request.
    pub is_eligible: &'a dyn Fn(&EndpointEntry) -> bool,
    /// Whether a connection to an endpoint is open and unused.
    pub is_connected: &'a dyn Fn(EndpointKey) -> bool,
    /// Weights that the prompt may begin on.
    pub weights: WeightBounds,
    /// Mechanisms that are left out.
    pub disabled: MechanismSet,
    /// Current time.
    pub now: Micros,
}

/// What a suspect asks of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct TrialRequest<'a> {
    /// A number of the request: of endpoints that cost about the same it goes to one by that,
    /// wherever it comes again. Sent by cost alone, a sound one met two others at one endpoint
    /// after the other, and was held back.
    pub request_hash: u64,
    /// Whether the number alone decides: two endpoints have ended under it. Before, most are
    /// sound: by number alone, those that three waves of crashes broke off read 133,000 tokens
    /// of shared parts again on a replayed day.
    pub is_alone: bool,
    /// Endpoints that have no room for a suspect.
    pub excluded: &'a [EndpointKey],
    /// Endpoints that must serve, so that it is not the last one that it may end.
    pub min_endpoints: u32,
}

/// The endpoint that was chosen, and why.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointChoice {
    /// Endpoint.
    pub key: EndpointKey,
    /// Estimated time until the answer begins, in milliseconds.
    pub estimate_ms: f64,
    /// Tokens that it reads for others first.
    pub ahead_tokens: f64,
    /// Time for which it does, in milliseconds.
    pub ahead_ms: f64,
    /// Time until a prompt begins beside its own reading, as prompts of late have
    /// taken, in milliseconds.
    pub queue_ms: f64,
    /// Requests that wait at it for a place or for memory.
    pub waiting: u32,
    /// Memory that it has for further prompts, in tokens, where that is known.
    pub free_tokens: Option<u64>,
    /// Memory that runs at it take, in tokens, where that is known.
    pub used_tokens: u64,
    /// All memory of it, in tokens, where that is known.
    pub total_tokens: u64,
    /// Tokens that it will have to read.
    pub prefill_tokens: u32,
    /// What it keeps already and what it fetches.
    pub plan: PromptPlan,
    /// Tokens of shared parts.
    pub shared_tokens: u32,
    /// Tokens of shared parts that it will have to read.
    pub shared_prefill_tokens: u32,
    /// Version of the weights that is expected of it.
    pub version: Option<u64>,
    /// Endpoints that were weighed.
    pub candidates: u32,
    /// Whether it has a place free, as far as is known.
    pub has_free_slot: bool,
}

/// What is known about a prompt's parts under one version of the weights.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionAvailability {
    /// Version.
    pub version: u64,
    /// Tag of the salt that goes with it.
    pub namespace: NamespaceTag,
    /// Shared parts and where they can be fetched.
    pub parts: Vec<PartAvailability>,
}

/// Chooses an endpoint; `outlooks` has one entry for each version of the
/// weights that some engine has.
pub fn pick_endpoint(
    book: &EndpointRegistry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
) -> Option<EndpointChoice> {
    let is_long = request.prompt.is_some_and(|prompt| {
        f64::from(prompt.tokens_out) > request.estimator.answer_tokens() * SHORT_ANSWER_FRACTION
    });
    let healthy = pick_best(book, request, availabilities, &|entry| {
        let drains = entry.stage == SwapStage::Draining;
        is_healthy(entry, request) && !(is_long && drains)
    });
    if healthy.is_some() || request.trial.is_some() {
        return healthy;
    }
    // Nobody is in order: somebody who may be is better than nobody.
    pick_best(book, request, availabilities, &|_| true)
}

fn is_healthy(
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
) -> bool {
    let now = request.now;
    let load = entry.fresh_load(now);
    let is_away = load.is_some_and(|load| load.is_silent || load.is_swapping);
    let is_loading = entry.stage == SwapStage::Loading;
    let is_suspect = !request.disabled.contains(ServingMechanism::Suspicion) && entry.is_suspect(now);
    !is_away && !is_loading && !is_suspect && !outlier_guard(entry, request).is_ejected(now)
}

/// What watches the endpoint's failures; one that has seen none, where it is left out.
fn outlier_guard(
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
) -> OutlierGuard {
    match request.disabled.contains(ServingMechanism::OutlierGuard) {
        true => OutlierGuard::default(),
        false => entry.guard,
    }
}

fn pick_best(
    book: &EndpointRegistry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
    is_allowed: &dyn Fn(&EndpointEntry) -> bool,
) -> Option<EndpointChoice> {
    let home = home_hash(request);
    let token_ms = request.estimator.token_ms();
    let mut best: Option<(f64, EndpointChoice)> = None;
    let mut best_home: Option<(u64, EndpointKey)> = None;
    let mut eligible = Vec::new();
    for (key, entry) in book.iter() {
        let serves = entry.service == request.service
            && entry.status != EndpointStatus::Leaving
            && !entry.is_superseded;
        let version = request.prompt.and_then(|p| entry.weights.version(&p.model));
        let is_out = !request.weights.allows(version) || request.tried.contains(&key);
        if !serves || is_out || !(request.is_eligible)(entry) || !is_allowed(entry) {
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
        return pick_for_trial(book, trial, choices.collect());
    }
    for (key, entry) in &eligible {
        let mut choice = estimate_choice(*key, entry, request, availabilities);
        choice.candidates = eligible.len() as u32;
        let mut cost = choice.estimate_ms * f64::from(outlier_guard(entry, request).penalty(request.now));
        if entry.domain != request.domain {
            cost += CROSS_DOMAIN_COST_MS;
        }
        if !(request.is_connected)(*key) {
            cost += NEW_CONNECTION_COST_MS;
        }
        if best_home.is_some_and(|(_, at)| at == *key) {
            cost -= f64::from(choice.shared_prefill_tokens) * token_ms * HOME_PREFILL_FACTOR;
            cost -= f64::from(choice.shared_tokens) * token_ms * HOME_SHARED_FACTOR;
        }
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Where a suspect runs.
fn pick_for_trial(
    book: &EndpointRegistry,
    trial: &TrialRequest<'_>,
    mut choices: Vec<EndpointChoice>,
) -> Option<EndpointChoice> {
    let estimates = choices.iter().map(|choice| choice.estimate_ms);
    let lowest = estimates.fold(f64::INFINITY, f64::min);
    if !trial.is_alone {
        choices.retain(|choice| choice.estimate_ms <= lowest + TRIAL_COST_TOLERANCE_MS);
    }
    let score = |choice: &EndpointChoice| {
        let entry = book.get(choice.key);
        entry.map(|entry| hash_with_seed(trial.request_hash, &entry.id))
    };
    choices.into_iter().max_by_key(score)
}

fn estimate_choice(
    key: EndpointKey,
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
) -> EndpointChoice {
    let mut choice = EndpointChoice {
        key,
        estimate_ms: f64::from(entry.running) * PLAIN_REQUEST_COST_MS,
        has_free_slot: entry.slots == 0 || entry.occupied(request.now) < entry.slots,
        ..EndpointChoice::default()
    };
    if let Some(prompt) = request.prompt {
        estimate_engine(&mut choice, entry, prompt, request, availabilities);
    }
    if !choice.has_free_slot {
        choice.estimate_ms += NO_SLOT_COST_MS;
    }
    choice
}

fn estimate_engine(
    choice: &mut EndpointChoice,
    entry: &EndpointEntry,
    prompt: &PromptInfo,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
) {
    let version = entry.weights.version(&prompt.model);
    choice.version = request.weights.expected(version);
    let known = availabilities
        .iter()
        .find(|availability| Some(availability.version) == choice.version);
    let known = known.filter(|_| !request.disabled.contains(ServingMechanism::Affinity));
    if let Some(availability) = known {
        choice.plan = plan_prompt(choice.key, entry, availability.namespace, &availability.parts);
    }
    let available = choice.plan.cached_tokens + choice.plan.fetched_tokens;
    choice.prefill_tokens = prompt.tokens_in.saturating_sub(available);
    let shared = match request.disabled.contains(ServingMechanism::Home) {
        true => 0,
        false => shared_tokens(prompt),
    };
    choice.shared_tokens = shared;
    choice.shared_prefill_tokens = shared.saturating_sub(available);
    let now = request.now;
    let estimator = request.estimator;
    let token_ms = estimator.token_ms();
    let other_tokens = entry.other_prefill_tokens(now, estimator);
    choice.ahead_tokens = entry.pending_tokens(request.priority) as f64 + other_tokens * share_ahead(request.priority);
    choice.ahead_ms = choice.ahead_tokens * token_ms;
    choice.estimate_ms = choice.ahead_ms + f64::from(choice.prefill_tokens) * token_ms;
    choice.estimate_ms += choice.plan.fetch_ms;
    choice.queue_ms = choice.ahead_ms + estimator.overhead_ms();
    choice.estimate_ms += f64::from(choice.shared_prefill_tokens) * token_ms * SHARED_PREFILL_FACTOR;
    choice.estimate_ms += f64::from(choice.plan.fetched_tokens) * token_ms * FETCH_COST_FACTOR;
    let running_ms = estimator.prefill_tokens() * token_ms * RUNNING_REQUEST_FACTOR;
    choice.estimate_ms += f64::from(entry.occupied(now)) * running_ms;
    if request.weights.is_behind(version) {
        choice.estimate_ms += OLD_WEIGHTS_COST_MS;
    }
    choice.free_tokens = entry.free_tokens(now, estimator);
    if let Some(load) = entry.fresh_load(now) {
        choice.waiting = load.waiting;
        choice.used_tokens = load.used_tokens;
        choice.total_tokens = load.total_tokens;
        let needed =
            load.used_tokens + entry.unreported_tokens(now, estimator) + u64::from(prompt.tokens_in);
        let missing = needed.saturating_sub(load.total_tokens);
        choice.estimate_ms += missing as f64 * token_ms * MISSING_MEMORY_FACTOR;
    }
}

fn shared_tokens(prompt: &PromptInfo) -> u32 {
    let shared = prompt.parts.iter().rev().skip(1);
    shared.map(|part| part.tokens).sum()
}

/// Part of the others' tokens that goes before a request of this rank: of the
/// sites' tokens a fifth is of the most urgent rank, and most is of the third.
fn share_ahead(priority: u8) -> f64 {
    match priority {
        0 => 0.25,
        1 => 0.4,
        _ => 1.0,
    }
}

/// The number that a prompt's home is drawn from: its last shared part.
fn home_hash(request: &PickRequest<'_>) -> u64 {
    let parts = request.prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|index| parts.get(index));
    shared.or(parts.last()).map_or(0, |part| part.id.value())
}

/// Mixes a number with a text, evenly spread.
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
