use {
    crate::serving::{
        mix_bits, transfer_ms, unit_fraction, EndpointEntry, EndpointKey, EndpointRegistry,
        EndpointStatus, EngineConfig, KvStore, KvStoreView, MechanismSet, NamespaceTag, PromptPart,
        ServingMechanism, StoredPart,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Factor for transfers between failure domains, as the platform specifies it.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;
/// Longest expected fetch that is requested, in milliseconds; engines abandon a transfer that would
/// wait for two seconds.
const MAX_FETCH_MS: f64 = 700.0;
/// Latency of a transfer from an engine, in milliseconds.
const ENGINE_LATENCY_MS: f64 = 1.7;
/// Risk surcharge per token fetched from an engine, in milliseconds: engines can evict a part at
/// any moment, and the part must then be prefilled. Stores do not evict parts, but their links are
/// slower and have queues. It is a seventh of the prefill time of a token on engines that prefill a
/// hundred tokens in a millisecond.
const ENGINE_RISK_MS: f64 = 0.0015;

/// Where a part can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartLocation {
    /// A store, by its index in the directory.
    Store(usize),
    /// An engine.
    Engine(EndpointKey),
}

/// A store or engine that has a part, and the cost of fetching it.
#[derive(Debug, Clone, PartialEq)]
pub struct PartSource {
    /// Store or engine.
    pub location: PartLocation,
    /// Address from which engines fetch.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Duration of a fetch within that failure domain, in milliseconds.
    pub fetch_ms: f64,
}

impl PartSource {
    /// Whether it is an engine, which can evict the part at any moment.
    pub fn is_engine(&self) -> bool {
        matches!(self.location, PartLocation::Engine(_))
    }
}

/// A prompt part and its sources.
#[derive(Debug, Clone, PartialEq)]
pub struct PartAvailability {
    /// Part.
    pub part: PromptPart,
    /// Stores and engines that have it.
    pub sources: Vec<PartSource>,
}

/// How one engine obtains one part.
#[derive(Debug, Clone, PartialEq)]
pub struct PartPlan {
    /// Part.
    pub part: PromptPart,
    /// Whether the engine is believed to cache it; then it is only fetched if the engine has
    /// evicted it meanwhile.
    pub is_cached: bool,
    /// Source and duration of a fetch in milliseconds; always set for a part that is not cached.
    pub source: Option<(PartSource, f64)>,
}

/// How one engine obtains the parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptPlan {
    /// Tokens that it has cached.
    pub cached_tokens: u32,
    /// Tokens that it fetches.
    pub fetched_tokens: u32,
    /// Duration of the fetches, in milliseconds.
    pub fetch_ms: f64,
    /// Leading shared parts that are cached or fetched, in order.
    pub parts: Vec<PartPlan>,
}

/// All stores and their known content.
#[derive(Debug, Clone, Default)]
pub struct KvStoreDirectory {
    views: Vec<KvStoreView>,
    disabled: MechanismSet,
}

impl KvStoreDirectory {
    /// An empty directory with some mechanisms disabled.
    pub fn without(disabled: MechanismSet) -> Self {
        KvStoreDirectory {
            disabled,
            ..KvStoreDirectory::default()
        }
    }

    /// Applies the stores of a configuration; known content of unchanged stores is retained.
    pub fn set_stores(
        &mut self,
        stores: &[KvStore],
    ) {
        let previous = std::mem::take(&mut self.views);
        let mut previous: Vec<Option<KvStoreView>> = previous.into_iter().map(Some).collect();
        for store in stores {
            let known = previous.iter_mut().find(|view| {
                view.as_ref()
                    .is_some_and(|view| view.store.address == store.address)
            });
            let mut view = known.and_then(Option::take);
            if let Some(view) = &mut view {
                view.store = store.clone();
            }
            self.views
                .push(view.unwrap_or_else(|| KvStoreView::new(store.clone())));
        }
    }

    /// View of a store, by its address.
    pub fn view_mut(
        &mut self,
        address: SocketAddr,
    ) -> Option<&mut KvStoreView> {
        self.views
            .iter_mut()
            .find(|view| view.store.address == address)
    }

    /// View of a store, by its index.
    pub fn view_at(
        &mut self,
        index: usize,
    ) -> Option<&mut KvStoreView> {
        self.views.get_mut(index)
    }

    /// Known incarnation of the store at an address.
    pub fn epoch(
        &self,
        address: SocketAddr,
    ) -> Option<u64> {
        let mut views = self.views.iter();
        views
            .find(|view| view.store.address == address)
            .and_then(KvStoreView::epoch)
    }

    /// Known incarnation of the part's store, if that has the complete part.
    pub fn complete_epoch(
        &self,
        part: &StoredPart,
    ) -> Option<u64> {
        let mut views = self.views.iter();
        let view = views.find(|view| view.store.address == part.store)?;
        let has_part = view.parts.cached_tokens(part.namespace, part.id) > 0;
        view.epoch().filter(|_| has_part)
    }

    /// Views of all stores.
    pub fn views(&self) -> &[KvStoreView] {
        &self.views
    }

    /// Whether any store answers but its known content is too old.
    pub fn is_stale(
        &self,
        now: Micros,
    ) -> bool {
        self.views.iter().any(|view| view.is_stale(now))
    }

    /// The shared parts of a prompt and where they can be fetched. The last part belongs to this
    /// request alone and is never reused.
    pub fn locate_parts(
        &self,
        registry: &EndpointRegistry,
        engine_config: &EngineConfig,
        namespace: NamespaceTag,
        parts: &[PromptPart],
        now: Micros,
    ) -> Vec<PartAvailability> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let availability = shared.iter().map(|part| PartAvailability {
            part: *part,
            sources: self.sources(registry, engine_config, namespace, part, now),
        });
        availability.collect()
    }

    fn sources(
        &self,
        registry: &EndpointRegistry,
        engine_config: &EngineConfig,
        namespace: NamespaceTag,
        part: &PromptPart,
        now: Micros,
    ) -> Vec<PartSource> {
        let bytes = u64::from(part.tokens) * engine_config.token_bytes;
        let mut sources = Vec::new();
        if self.disabled.contains(ServingMechanism::Fetches) {
            return sources;
        }
        for (index, view) in self.views.iter().enumerate() {
            let is_complete = view.parts.cached_tokens(namespace, part.id) >= part.tokens;
            if is_complete && view.fetch_until_ms(now).is_some() {
                sources.push(PartSource {
                    location: PartLocation::Store(index),
                    address: view.store.address,
                    domain: view.store.domain.clone(),
                    fetch_ms: view.fetch_ms(bytes, now),
                });
            }
        }
        let risk_ms = f64::from(part.tokens) * ENGINE_RISK_MS;
        let engine_ms = ENGINE_LATENCY_MS + transfer_ms(bytes, engine_config.link_mbps) + risk_ms;
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

    /// Records the fetches of a plan on the links of the stores.
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
                    view.reserve_link(millis - wait, now);
                }
            }
        }
    }

    /// Store in which each shared part should be saved; `None` if a store has it or no store has
    /// space.
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
        self.views
            .iter_mut()
            .for_each(|view| view.expire_saves(now));
        let is_saved = |view: &KvStoreView| view.has_or_expects(namespace, part.id, part.tokens);
        if self.disabled.contains(ServingMechanism::Stores) || self.views.iter().any(is_saved) {
            return None;
        }
        let mut best: Option<(f64, &mut KvStoreView)> = None;
        for view in &mut self.views {
            if !may_save(&view.store) || !view.can_save(part.tokens, now) {
                continue;
            }
            // Boxes without knowledge of each other choose the same store by weighted rendezvous
            // hashing, with the link speed as the weight: otherwise large stores with slow links
            // would get nearly all fetches, and prompts would wait for them.
            let fraction = placement_fraction(part.id.value(), view.store.address);
            let weight = view.store.link_mbps / -fraction.ln();
            if best.as_ref().is_none_or(|(most, _)| weight > *most) {
                best = Some((weight, view));
            }
        }
        let (_, view) = best?;
        view.record_save(namespace, part.id, part.tokens, now);
        Some(view.store.address)
    }
}

fn is_source(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let load = entry.fresh_load(now);
    let answers = load.is_some_and(|load| !load.is_silent && !load.is_swapping);
    entry.status != EndpointStatus::Leaving && answers && !entry.may_be_unreachable(now)
}

/// Plans which parts of a prompt an engine has cached and which it fetches; it prefills the rest.
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

/// An evenly distributed number between 0 and 1 for a part and a store.
fn placement_fraction(
    part_id: u64,
    address: SocketAddr,
) -> f64 {
    let text = address.to_string();
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = text.bytes().fold(part_id ^ 0xcbf2_9ce4_8422_2325, mix);
    unit_fraction(mix_bits(hash)) + f64::MIN_POSITIVE
}
