use {
    super::{EndpointChoice, PickRequest, VersionAvailability},
    crate::{
        serving::{
            plan_prompt, EndpointEntry, EndpointKey, EnginePool, PromptInfo, PromptSize,
            ServingMechanism,
        },
        time::Micros,
    },
};

/// Cost of each running request, as a fraction of the prefill time of a typical prompt: each one
/// slows down every step of the engine.
const RUNNING_REQUEST_FACTOR: f64 = 0.02;
/// Cost of a fetched token beyond its transfer time, as a multiple of its prefill time: the price
/// of the transfer, and the memory that it takes from other parts.
const FETCH_COST_FACTOR: f64 = 0.25;
/// Cost of an engine without a free slot, in milliseconds.
const NO_SLOT_COST_MS: f64 = 800.0;
/// Cost per token of missing memory, as a multiple of its prefill time: running requests are
/// preempted and prefilled again.
const MISSING_MEMORY_FACTOR: f64 = 2.0;
/// Cost of prefilling a token of a shared part beyond the time it takes, as a multiple of that
/// time: prefilling a part again costs as much as some fifty fetches.
const SHARED_PREFILL_FACTOR: f64 = 1.0;
/// Cost of weights that a newer version replaces, in milliseconds: their answers lose value with
/// time.
const OLD_WEIGHTS_COST_MS: f64 = 12.0;
/// Target latency assumed for the costs of pools on routes that state none, in milliseconds: without
/// one, their long prompts would go to reserved engines like any other.
const UNSTATED_TARGET_MS: f64 = 500.0;
/// Cost of an engine reserved for short prompts to a long one, as a multiple of the target latency.
/// A long prompt there delays dozens of streams; it goes there only if no other engine is available.
const RESERVED_POOL_FACTOR: f64 = 4.0;
/// Cost of an engine that is open to long prompts to a short one, as a multiple of the target
/// latency: a long prompt may delay its events beyond their target, but need not.
const OPEN_POOL_FACTOR: f64 = 0.25;

/// Estimates the cost of an endpoint for a request.
pub(super) fn estimate_choice(
    key: EndpointKey,
    entry: &EndpointEntry,
    request: &PickRequest<'_>,
    availabilities: &[VersionAvailability],
) -> EndpointChoice {
    let mut choice = EndpointChoice {
        key,
        rate: entry.rate.value(),
        has_free_slot: entry.slots == 0 || entry.occupied(request.now) < entry.slots,
        ..EndpointChoice::default()
    };
    match request.prompt {
        Some(prompt) => estimate_engine(&mut choice, entry, prompt, request, availabilities),
        None => choice.cost.running = entry.plain_time.cost_ms(entry.running),
    }
    if !choice.has_free_slot {
        choice.cost.slot = NO_SLOT_COST_MS;
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
        choice.plan = plan_prompt(
            choice.key,
            entry,
            availability.namespace,
            &availability.parts,
        );
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
    let rate = choice.rate;
    let token_ms = estimator.token_ms();
    let other_tokens = entry.other_prefill_tokens(now, estimator);
    choice.ahead_tokens = entry.pending_tokens(request.priority) as f64
        + other_tokens * share_ahead(request.priority);
    choice.ahead_ms = choice.ahead_tokens * token_ms * rate;
    choice.queue_ms = choice.ahead_ms + estimator.overhead_ms() * rate;
    let terms = &mut choice.cost;
    terms.ahead = choice.ahead_ms;
    terms.prefill = f64::from(choice.prefill_tokens) * token_ms * rate;
    terms.fetch =
        choice.plan.fetch_ms + f64::from(choice.plan.fetched_tokens) * token_ms * FETCH_COST_FACTOR;
    terms.shared = f64::from(choice.shared_prefill_tokens) * token_ms * SHARED_PREFILL_FACTOR;
    let typical_ms = estimator.prefill_tokens() * token_ms;
    let running_ms = typical_ms * RUNNING_REQUEST_FACTOR * rate;
    terms.running = f64::from(entry.occupied(now)) * running_ms;
    // The learned overhead includes waits for memory, which do not depend on the engine's speed.
    terms.rate = estimator.overhead_ms().min(typical_ms) * (rate - 1.0).max(0.0);
    if request.weights.is_outdated(version) {
        terms.old_weights = OLD_WEIGHTS_COST_MS;
    }
    choice.pool = request.pools.pool_of(choice.key);
    choice.free_tokens = entry.free_tokens(now, estimator);
    let needed = u64::from(prompt.tokens_in);
    let is_full = choice.free_tokens.is_some_and(|free| free < needed);
    terms.pool = pool_cost(choice.pool, is_full, request);
    if let Some(load) = entry.fresh_load(now) {
        choice.waiting = load.waiting;
        choice.used_tokens = load.used_tokens;
        choice.total_tokens = load.total_tokens;
        let needed = load.used_tokens
            + entry.unreported_tokens(now, estimator)
            + u64::from(prompt.tokens_in);
        let missing = needed.saturating_sub(load.total_tokens);
        choice.cost.memory = missing as f64 * token_ms * MISSING_MEMORY_FACTOR;
    }
}

/// Cost of an engine of the pool that is not for prompts of this size, in milliseconds. Without the
/// cost of a full engine, short prompts waited for memory at reserved engines while others had some.
fn pool_cost(
    pool: EnginePool,
    is_full: bool,
    request: &PickRequest<'_>,
) -> f64 {
    let target_ms = match request.target_latency {
        Micros::ZERO => UNSTATED_TARGET_MS,
        target => target.as_millis() as f64,
    };
    match (pool, request.size) {
        (EnginePool::Reserved, PromptSize::Long) => target_ms * RESERVED_POOL_FACTOR,
        (EnginePool::Open, PromptSize::Short) => target_ms * OPEN_POOL_FACTOR,
        (EnginePool::Reserved, PromptSize::Short) if is_full => target_ms * OPEN_POOL_FACTOR,
        _ => 0.0,
    }
}

fn shared_tokens(prompt: &PromptInfo) -> u32 {
    let shared = prompt.parts.iter().rev().skip(1);
    shared.map(|part| part.tokens).sum()
}

/// Fraction of the tokens of other boxes' requests that are prefilled before a request of this
/// priority. In known deployments, a fifth of the tokens has the highest priority, and most have
/// the third.
fn share_ahead(priority: u8) -> f64 {
    match priority {
        0 => 0.25,
        1 => 0.4,
        _ => 1.0,
    }
}
