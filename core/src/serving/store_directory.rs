use {
    super::{
        mix_bits, move_ms, unit_fraction, EndpointEntry, EndpointKey, EndpointRegistry,
        EndpointStatus, EngineGroup, KvStore, MechanismSet, NamespaceTag, PromptPart,
        ServingMechanism, StoreView,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Factor on a move between failure domains, as the platform states it.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;
/// Wait for a link up to which a fetch is asked for, in milliseconds; engines
/// give up a move that would wait for two seconds.
const MAX_FETCH_MS: f64 = 700.0;
/// Time until a move from an engine begins, in milliseconds.
const ENGINE_LATENCY_MS: f64 = 1.7;
/// Cost of a token that is fetched from an engine, beyond its time, in
/// milliseconds: engines let parts go at any moment, and a part that is not
/// there any more has to be read. Stores keep theirs, but their links are slower
/// and queue. By judgement; a seventh of what it costs to read the token on engines
/// that read a hundred in a millisecond.
const ENGINE_RISK_MS: f64 = 0.0015;

/// Where a part can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartLocation {
    /// A store, by its index in the map.
    Store(usize),
    /// An engine.
    Engine(EndpointKey),
}

/// One index where a part is kept, and what fetching it takes.
#[derive(Debug, Clone, PartialEq)]
pub struct PartSource {
    /// Place.
    pub location: PartLocation,
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Time of a fetch from within that domain, in milliseconds.
    pub fetch_ms: f64,
}

impl PartSource {
    /// Whether it is an engine, which may let the part go at any moment.
    pub fn is_engine(&self) -> bool {
        matches!(self.location, PartLocation::Engine(_))
    }
}

/// A part of a prompt and the places that keep it.
#[derive(Debug, Clone, PartialEq)]
pub struct PartAvailability {
    /// Part.
    pub part: PromptPart,
    /// Places.
    pub sources: Vec<PartSource>,
}

/// What one engine does about one part.
#[derive(Debug, Clone, PartialEq)]
pub struct PartPlan {
    /// Part.
    pub part: PromptPart,
    /// Whether the engine is believed to keep it; then it is only fetched where
    /// the engine has let it go meanwhile.
    pub is_cached: bool,
    /// Source and time of a fetch; always there for a part that is not kept.
    pub source: Option<(PartSource, f64)>,
}

/// What one engine does about a prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptPlan {
    /// Tokens that it keeps already.
    pub cached_tokens: u32,
    /// Tokens that it fetches.
    pub fetched_tokens: u32,
    /// Time of the fetches, in milliseconds.
    pub fetch_ms: f64,
    /// Shared parts in order, as far as they are kept or fetched.
    pub parts: Vec<PartPlan>,
}

/// All stores, and what is known of their content.
#[derive(Debug, Clone, Default)]
pub struct StoreDirectory {
    views: Vec<StoreView>,
    left_out: MechanismSet,
}

impl StoreDirectory {
    /// Nothing is known yet, and some mechanisms are done without.
    pub fn without(left_out: MechanismSet) -> Self {
        StoreDirectory {
            left_out,
            ..StoreDirectory::default()
        }
    }

    /// Takes the stores of a configuration; what is known of those that stay is kept.
    pub fn set_stores(
        &mut self,
        stores: &[KvStore],
    ) {
        let before = std::mem::take(&mut self.views);
        let mut before: Vec<Option<StoreView>> = before.into_iter().map(Some).collect();
        for store in stores {
            let known = before.iter_mut().find(|view| {
                view.as_ref()
                    .is_some_and(|view| view.store.address == store.address)
            });
            let mut view = known.and_then(Option::take);
            if let Some(view) = &mut view {
                view.store = store.clone();
            }
            self.views
                .push(view.unwrap_or_else(|| StoreView::new(store.clone())));
        }
    }

    /// The view of a store, by its address.
    pub fn view_mut(
        &mut self,
        address: SocketAddr,
    ) -> Option<&mut StoreView> {
        self.views
            .iter_mut()
            .find(|view| view.store.address == address)
    }

    /// The view at a index.
    pub fn view_at(
        &mut self,
        index: usize,
    ) -> Option<&mut StoreView> {
        self.views.get_mut(index)
    }

    /// All views.
    pub fn views(&self) -> &[StoreView] {
        &self.views
    }

    /// Whether some store answers, but what is known of it is too old.
    pub fn is_stale(
        &self,
        now: Micros,
    ) -> bool {
        self.views.iter().any(|view| view.is_stale(now))
    }

    /// The shared parts of a prompt and where they can be fetched: the last
    /// part is the request's own and never comes back.
    pub fn locate_parts(
        &self,
        registry: &EndpointRegistry,
        group: &EngineGroup,
        namespace: NamespaceTag,
        parts: &[PromptPart],
        now: Micros,
    ) -> Vec<PartAvailability> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let availability = shared.iter().map(|part| PartAvailability {
            part: *part,
            sources: self.sources(registry, group, namespace, part, now),
        });
        availability.collect()
    }

    fn sources(
        &self,
        registry: &EndpointRegistry,
        group: &EngineGroup,
        namespace: NamespaceTag,
        part: &PromptPart,
        now: Micros,
    ) -> Vec<PartSource> {
        let bytes = u64::from(part.tokens) * group.token_bytes;
        let mut sources = Vec::new();
        if self.left_out.has(ServingMechanism::Fetches) {
            return sources;
        }
        for (index, view) in self.views.iter().enumerate() {
            let is_whole = view.parts.cached_tokens(namespace, part.id) >= part.tokens;
            if is_whole && view.fetch_until_ms(now).is_some() {
                sources.push(PartSource {
                    location: PartLocation::Store(index),
                    address: view.store.address,
                    domain: view.store.domain.clone(),
                    fetch_ms: view.fetch_ms(bytes, now),
                });
            }
        }
        let risk_ms = f64::from(part.tokens) * ENGINE_RISK_MS;
        let engine_ms = ENGINE_LATENCY_MS + move_ms(bytes, group.link_mbps) + risk_ms;
        for (key, entry) in registry.iter() {
            let is_cached = entry.parts.cached_tokens(namespace, part.id) >= part.tokens;
            if is_cached && is_source(entry, now) {
                sources.push(PartSource {
                    location: PartLocation::Engine(key),
                    address: entry.address,
                    domain: entry.domain.clone(),
                    fetch_ms: engine_ms,
                });
            }
        }
        sources
    }

    /// Notes the fetches that we ask for.
    pub fn record_fetches(
        &mut self,
        plan: &PromptPlan,
        now: Micros,
    ) {
        for fetch in &plan.parts {
            let Some((source, millis)) = fetch.source.as_ref().filter(|_| !fetch.is_cached) else {
                continue;
            };
            if let PartLocation::Store(index) = source.location {
                if let Some(view) = self.views.get_mut(index) {
                    let wait = view.fetch_ms(0, now) - view.store.first_ms;
                    view.occupy(millis - wait, now);
                }
            }
        }
    }

    /// Where each shared part should be saved; nowhere where a store has it, or
    /// where none has room.
    pub fn plan_saves(
        &mut self,
        namespace: NamespaceTag,
        parts: &[PromptPart],
        may_save: &dyn Fn(&KvStore) -> bool,
        now: Micros,
    ) -> Vec<Option<SocketAddr>> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let saves = shared
            .iter()
            .map(|part| self.plan_save(namespace, part, may_save, now));
        saves.collect()
    }

    fn plan_save(
        &mut self,
        namespace: NamespaceTag,
        part: &PromptPart,
        may_save: &dyn Fn(&KvStore) -> bool,
        now: Micros,
    ) -> Option<SocketAddr> {
        let has = |view: &StoreView| view.has_or_gets(namespace, part.id, part.tokens);
        if self.left_out.has(ServingMechanism::Stores) || self.views.iter().any(has) {
            return None;
        }
        let mut best: Option<(f64, &mut StoreView)> = None;
        for view in &mut self.views {
            if !may_save(&view.store) || !view.takes(part.tokens, now) {
                continue;
            }
            // Boxes that know nothing of each other choose the same home, in
            // proportion to the speed of the stores' links: large stores with slow
            // links would get nearly all fetches, and prompts wait for them. On a
            // replayed day of high load 8 large prompts began late in index of 30 (9
            // engines), on another 2,290 thousand tokens of shared parts were read
            // again in index of 2,913 thousand (52 engines).
            let spread = placement_fraction(part.id.number(), view.store.address);
            let rank = view.store.link_mbps / -spread.ln();
            if best.as_ref().is_none_or(|(most, _)| rank > *most) {
                best = Some((rank, view));
            }
        }
        let (_, view) = best?;
        view.saving(namespace, part.id, part.tokens, now);
        Some(view.store.address)
    }
}

fn is_source(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let load = entry.fresh_load(now);
    let answers = load.is_some_and(|load| !load.is_silent && !load.is_swapping);
    entry.status != EndpointStatus::Leaving && answers && !entry.is_suspect(now)
}

/// What an engine does about a prompt: keeps, fetches, and reads the rest.
pub fn plan_prompt(
    key: EndpointKey,
    entry: &EndpointEntry,
    namespace: NamespaceTag,
    availability: &[PartAvailability],
) -> PromptPlan {
    let mut plan = PromptPlan::default();
    for shared in availability {
        let is_cached = entry.parts.cached_tokens(namespace, shared.part.id) >= shared.part.tokens;
        let source = best_source(key, entry, &shared.sources);
        match &source {
            _ if is_cached => plan.cached_tokens += shared.part.tokens,
            Some((_, millis)) => {
                plan.fetched_tokens += shared.part.tokens;
                plan.fetch_ms += millis;
            }
            None => break,
        }
        plan.parts.push(PartPlan {
            part: shared.part,
            is_cached,
            source,
        });
    }
    plan
}

fn best_source(
    key: EndpointKey,
    entry: &EndpointEntry,
    sources: &[PartSource],
) -> Option<(PartSource, f64)> {
    let mut best: Option<(&PartSource, f64)> = None;
    for source in sources {
        if source.location == PartLocation::Engine(key) {
            continue;
        }
        let factor = match source.domain == entry.domain {
            true => 1.0,
            false => OTHER_DOMAIN_FACTOR,
        };
        let millis = source.fetch_ms * factor;
        let is_better = best.is_none_or(|(_, least)| millis < least);
        if millis < MAX_FETCH_MS && is_better {
            best = Some((source, millis));
        }
    }
    best.map(|(source, millis)| (source.clone(), millis))
}

/// A number between 0 and 1 for a part at a store, evenly spread.
fn placement_fraction(
    number: u64,
    address: SocketAddr,
) -> f64 {
    let text = address.to_string();
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = text.bytes().fold(number ^ 0xcbf2_9ce4_8422_2325, mix);
    unit_fraction(mix_bits(hash)) + f64::MIN_POSITIVE
}
