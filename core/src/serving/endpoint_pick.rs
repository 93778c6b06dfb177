use {
    super::{
        plan_prompt, EndpointEntry, EndpointKey, EndpointRegistry, EndpointStatus, EnginePace,
        MechanismSet, NamespaceTag, PartAvailability, PromptAsk, PromptPlan, ServingMechanism,
        SwapStage, WeightBounds,
    },
    crate::{retry::OutlierGuard, time::Micros},
};

/// Cost of crossing to another failure domain, in milliseconds: the way there
/// and back, and the price of the bytes.
const OTHER_DOMAIN_MS: f64 = 5.0;
/// Cost of opening a connection, in milliseconds: a round trip, and work at both ends. Many
/// boxes that each use all engines would have half of their requests open one.
const NEW_LINK_MS: f64 = 4.0;
/// Cost of each request that runs, as it slows each step down: this part of what
/// it takes to read a usual prompt.
const RUNNING_PART: f64 = 0.02;
/// What the home of a prompt gets ahead for each shared token that nobody has
/// read, in times of reading it: boxes that know nothing of each other's choices
/// then read it at the same place, once.
const HOME_UNREAD: f64 = 1.0;
/// What the home gets ahead for each shared token in any case, in times of reading
/// it: a part that many engines hold takes the room of others.
const HOME_SHARED: f64 = 0.25;
/// Cost of a token that is fetched, beyond its time, in times of reading it: the
/// price of the move, and the room that it takes from others.
const FETCHED: f64 = 0.25;
/// Cost of an engine that has no place free, in milliseconds.
const FULL_MS: f64 = 800.0;
/// Cost of memory that is short, for each token, in times of reading it: requests
/// that run are put back and read anew.
const SHORT_MEMORY: f64 = 2.0;
/// Cost of reading a token of a shared part, beyond the time that it takes, in
/// times of reading it: what an engine reads again costs some fifty fetches.
const SHARED_UNREAD: f64 = 1.0;
/// Cost of weights that newer ones are named for, in milliseconds: what they
/// make is worth less and less.
const BEHIND_MS: f64 = 12.0;
/// Longest answer that goes to an engine which ends its long runs, as a part of
/// the usual answer.
const SHORT_ANSWER: f64 = 0.5;
/// Cost of one request that a plain service holds already, in milliseconds.
const PLAIN_QUEUE_MS: f64 = 12.0;

/// Difference in cost, in milliseconds, that is not worth meeting another suspect: about a
/// request that runs beside it.
const ABOUT_SAME_MS: f64 = 15.0;

/// What is looked for.
#[derive(Clone, Copy)]
pub struct PickAsk<'a> {
    /// Service that the route leads to.
    pub service: &'a str,
    /// Failure domain of this box.
    pub domain: &'a str,
    /// Prompt, where the service is of model engines.
    pub prompt: Option<&'a PromptAsk>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Endpoints that this request has been to.
    pub tried: &'a [EndpointKey],
    /// What is learned of the engines.
    pub pace: &'a EnginePace,
    /// Set where endpoints have ended under the request.
    pub trial: Option<TrialAsk<'a>>,
    /// Whether an endpoint may get the request at all: its failure domain serves, it is in a region
    /// where the request may run, and it bears one more request.
    pub may_take: &'a dyn Fn(&EndpointEntry) -> bool,
    /// Whether a connection to an endpoint is open and unused.
    pub is_linked: &'a dyn Fn(EndpointKey) -> bool,
    /// Weights that the prompt may begin on.
    pub weights: WeightBounds,
    /// Mechanisms that are left out.
    pub left_out: MechanismSet,
    /// Current time.
    pub now: Micros,
}

/// What a suspect asks of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct TrialAsk<'a> {
    /// A number of the request: of endpoints that cost about the same it goes to one by that,
    /// wherever it comes again. Sent by cost alone, a sound one met two others at one endpoint
    /// after the other, and was held back.
    pub number: u64,
    /// Whether the number alone decides: two endpoints have ended under it. Before, most are
    /// sound: by number alone, those that three waves of crashes broke off read 133,000 tokens
    /// of shared parts again on a replayed day.
    pub is_alone: bool,
    /// Endpoints that have no room for a suspect.
    pub barred: &'a [EndpointKey],
    /// Endpoints that must serve, so that it is not the last one that it may end.
    pub least: u32,
}

/// The endpoint that was chosen, and why.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointChoice {
    /// Endpoint.
    pub key: EndpointKey,
    /// Estimated time until the answer begins, in milliseconds.
    pub wait_ms: f64,
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
    pub unread_tokens: u32,
    /// What it keeps already and what it fetches.
    pub plan: PromptPlan,
    /// Tokens of shared parts.
    pub shared_tokens: u32,
    /// Tokens of shared parts that it will have to read.
    pub shared_unread: u32,
    /// Version of the weights that is expected of it.
    pub version: Option<u64>,
    /// Endpoints that were weighed.
    pub candidates: u32,
    /// Whether it has a place free, as far as is known.
    pub has_place: bool,
}

/// What is known about a prompt's parts under one version of the weights.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionOutlook {
    /// Version.
    pub version: u64,
    /// Tag of the salt that goes with it.
    pub wall: NamespaceTag,
    /// Shared parts and where they can be fetched.
    pub parts: Vec<PartAvailability>,
}

/// Chooses an endpoint; `outlooks` has one entry for each version of the
/// weights that some engine has.
pub fn pick_endpoint(
    book: &EndpointRegistry,
    ask: &PickAsk<'_>,
    outlooks: &[VersionOutlook],
) -> Option<EndpointChoice> {
    let is_long = ask.prompt.is_some_and(|prompt| {
        f64::from(prompt.tokens_out) > ask.pace.answer_tokens() * SHORT_ANSWER
    });
    let sound = best_of(book, ask, outlooks, &|entry| {
        let drains = entry.stage == SwapStage::Draining;
        is_sound(entry, ask) && !(is_long && drains)
    });
    if sound.is_some() || ask.trial.is_some() {
        return sound;
    }
    // Nobody is in order: somebody who may be is better than nobody.
    best_of(book, ask, outlooks, &|_| true)
}

fn is_sound(
    entry: &EndpointEntry,
    ask: &PickAsk<'_>,
) -> bool {
    let now = ask.now;
    let load = entry.fresh_load(now);
    let is_away = load.is_some_and(|load| load.is_silent || load.is_swapping);
    let is_loading = entry.stage == SwapStage::Loading;
    let is_suspect = !ask.left_out.has(ServingMechanism::Suspicion) && entry.is_suspect(now);
    !is_away && !is_loading && !is_suspect && !guard_of(entry, ask).is_ejected(now)
}

/// What watches the endpoint's failures; one that has seen none, where it is left out.
fn guard_of(
    entry: &EndpointEntry,
    ask: &PickAsk<'_>,
) -> OutlierGuard {
    match ask.left_out.has(ServingMechanism::OutlierGuard) {
        true => OutlierGuard::default(),
        false => entry.guard,
    }
}

fn best_of(
    book: &EndpointRegistry,
    ask: &PickAsk<'_>,
    outlooks: &[VersionOutlook],
    admits: &dyn Fn(&EndpointEntry) -> bool,
) -> Option<EndpointChoice> {
    let home = home_number(ask);
    let token_ms = ask.pace.token_ms();
    let mut best: Option<(f64, EndpointChoice)> = None;
    let mut best_home: Option<(u64, EndpointKey)> = None;
    let mut weighed = Vec::new();
    for (key, entry) in book.iter() {
        let serves = entry.service == ask.service
            && entry.status != EndpointStatus::Leaving
            && !entry.is_superseded;
        let version = ask.prompt.and_then(|p| entry.weights.version(&p.model));
        let is_out = !ask.weights.allows(version) || ask.tried.contains(&key);
        if !serves || is_out || !(ask.may_take)(entry) || !admits(entry) {
            continue;
        }
        let place = mix(home, &entry.id);
        if best_home.is_none_or(|(other, _)| place > other) {
            best_home = Some((place, key));
        }
        weighed.push((key, entry));
    }
    if let Some(trial) = &ask.trial {
        if (weighed.len() as u32) < trial.least {
            return None;
        }
        weighed.retain(|(key, _)| !trial.barred.contains(key));
        let choices = weighed.iter().map(|(key, entry)| EndpointChoice {
            candidates: weighed.len() as u32,
            ..weigh(*key, entry, ask, outlooks)
        });
        return trial_home(book, trial, choices.collect());
    }
    for (key, entry) in &weighed {
        let mut choice = weigh(*key, entry, ask, outlooks);
        choice.candidates = weighed.len() as u32;
        let mut cost = choice.wait_ms * f64::from(guard_of(entry, ask).penalty(ask.now));
        if entry.domain != ask.domain {
            cost += OTHER_DOMAIN_MS;
        }
        if !(ask.is_linked)(*key) {
            cost += NEW_LINK_MS;
        }
        if best_home.is_some_and(|(_, at)| at == *key) {
            cost -= f64::from(choice.shared_unread) * token_ms * HOME_UNREAD;
            cost -= f64::from(choice.shared_tokens) * token_ms * HOME_SHARED;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Where a suspect runs.
fn trial_home(
    book: &EndpointRegistry,
    trial: &TrialAsk<'_>,
    mut choices: Vec<EndpointChoice>,
) -> Option<EndpointChoice> {
    let waits = choices.iter().map(|choice| choice.wait_ms);
    let least = waits.fold(f64::INFINITY, f64::min);
    if !trial.is_alone {
        choices.retain(|choice| choice.wait_ms <= least + ABOUT_SAME_MS);
    }
    let place = |choice: &EndpointChoice| {
        let entry = book.get(choice.key);
        entry.map(|entry| mix(trial.number, &entry.id))
    };
    choices.into_iter().max_by_key(place)
}

fn weigh(
    key: EndpointKey,
    entry: &EndpointEntry,
    ask: &PickAsk<'_>,
    outlooks: &[VersionOutlook],
) -> EndpointChoice {
    let mut choice = EndpointChoice {
        key,
        wait_ms: f64::from(entry.running) * PLAIN_QUEUE_MS,
        has_place: entry.slots == 0 || entry.occupied(ask.now) < entry.slots,
        ..EndpointChoice::default()
    };
    if let Some(prompt) = ask.prompt {
        weigh_engine(&mut choice, entry, prompt, ask, outlooks);
    }
    if !choice.has_place {
        choice.wait_ms += FULL_MS;
    }
    choice
}

fn weigh_engine(
    choice: &mut EndpointChoice,
    entry: &EndpointEntry,
    prompt: &PromptAsk,
    ask: &PickAsk<'_>,
    outlooks: &[VersionOutlook],
) {
    let version = entry.weights.version(&prompt.model);
    choice.version = ask.weights.expected(version);
    let known = outlooks
        .iter()
        .find(|outlook| Some(outlook.version) == choice.version);
    let known = known.filter(|_| !ask.left_out.has(ServingMechanism::Affinity));
    if let Some(outlook) = known {
        choice.plan = plan_prompt(choice.key, entry, outlook.wall, &outlook.parts);
    }
    let at_hand = choice.plan.cached_tokens + choice.plan.fetched_tokens;
    choice.unread_tokens = prompt.tokens_in.saturating_sub(at_hand);
    let shared = match ask.left_out.has(ServingMechanism::Home) {
        true => 0,
        false => shared_tokens(prompt),
    };
    choice.shared_tokens = shared;
    choice.shared_unread = shared.saturating_sub(at_hand);
    let now = ask.now;
    let pace = ask.pace;
    let token_ms = pace.token_ms();
    let others = entry.other_prefill_tokens(now, pace);
    choice.ahead_tokens = entry.pending_tokens(ask.rank) as f64 + others * others_before(ask.rank);
    choice.ahead_ms = choice.ahead_tokens * token_ms;
    choice.wait_ms = choice.ahead_ms + f64::from(choice.unread_tokens) * token_ms;
    choice.wait_ms += choice.plan.fetch_ms;
    choice.queue_ms = choice.ahead_ms + pace.begin_ms();
    choice.wait_ms += f64::from(choice.shared_unread) * token_ms * SHARED_UNREAD;
    choice.wait_ms += f64::from(choice.plan.fetched_tokens) * token_ms * FETCHED;
    let running_ms = pace.unread_tokens() * token_ms * RUNNING_PART;
    choice.wait_ms += f64::from(entry.occupied(now)) * running_ms;
    if ask.weights.is_behind(version) {
        choice.wait_ms += BEHIND_MS;
    }
    choice.free_tokens = entry.free_tokens(now, pace);
    if let Some(load) = entry.fresh_load(now) {
        choice.waiting = load.waiting;
        choice.used_tokens = load.used_tokens;
        choice.total_tokens = load.total_tokens;
        let wanted =
            load.used_tokens + entry.unreported_tokens(now, pace) + u64::from(prompt.tokens_in);
        let short = wanted.saturating_sub(load.total_tokens);
        choice.wait_ms += short as f64 * token_ms * SHORT_MEMORY;
    }
}

fn shared_tokens(prompt: &PromptAsk) -> u32 {
    let shared = prompt.parts.iter().rev().skip(1);
    shared.map(|part| part.tokens).sum()
}

/// Part of the others' tokens that goes before a request of this rank: of the
/// sites' tokens a fifth is of the most urgent rank, and most is of the third.
fn others_before(rank: u8) -> f64 {
    match rank {
        0 => 0.25,
        1 => 0.4,
        _ => 1.0,
    }
}

/// The number that a prompt's home is drawn from: its last shared part.
fn home_number(ask: &PickAsk<'_>) -> u64 {
    let parts = ask.prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts
        .len()
        .checked_sub(2)
        .and_then(|place| parts.get(place));
    shared.or(parts.last()).map_or(0, |part| part.id.number())
}

/// Mixes a number with a text, evenly spread.
fn mix(
    number: u64,
    text: &str,
) -> u64 {
    let mut hash = number ^ 0x9e37_79b9_7f4a_7c15;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 31;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 29)
}
