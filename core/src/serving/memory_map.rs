use {
    super::{
        even_part, spread_bits, transfer_ms, EndpointBook, EndpointEntry, EndpointKey,
        EndpointStanding, EngineGroup, KvStore, MechanismSet, PromptPart, ServingMechanism,
        StoreView, WallTag,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Factor on a move between failure domains, as the platform states it.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;
/// Wait for a link up to which a fetch is asked for, in milliseconds; engines
/// give up a move that would wait for two seconds.
const FETCH_LIMIT_MS: f64 = 700.0;
/// Time until a move from an engine begins, in milliseconds.
const ENGINE_FIRST_MS: f64 = 1.7;
/// Cost of a token that is fetched from an engine, beyond its time, in
/// milliseconds: engines let parts go at any moment, and a part that is not
/// there any more has to be read. Stores keep theirs, but their links are slower
/// and queue. By judgement; a seventh of what it costs to read the token on engines
/// that read a hundred in a millisecond.
const ENGINE_RISK_MS: f64 = 0.0015;

/// Where a part can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartPlace {
    /// A store, by its place in the map.
    Store(usize),
    /// An engine.
    Engine(EndpointKey),
}

/// One place where a part is kept, and what fetching it takes.
#[derive(Debug, Clone, PartialEq)]
pub struct PartSource {
    /// Place.
    pub place: PartPlace,
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
        matches!(self.place, PartPlace::Engine(_))
    }
}

/// A part of a prompt and the places that keep it.
#[derive(Debug, Clone, PartialEq)]
pub struct PartOutlook {
    /// Part.
    pub part: PromptPart,
    /// Places.
    pub sources: Vec<PartSource>,
}

/// What one engine does about one part.
#[derive(Debug, Clone, PartialEq)]
pub struct PartFetch {
    /// Part.
    pub part: PromptPart,
    /// Whether the engine is believed to keep it; then it is only fetched where
    /// the engine has let it go meanwhile.
    pub is_kept: bool,
    /// Source and time of a fetch; always there for a part that is not kept.
    pub source: Option<(PartSource, f64)>,
}

/// What one engine does about a prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptPlan {
    /// Tokens that it keeps already.
    pub kept_tokens: u32,
    /// Tokens that it fetches.
    pub fetched_tokens: u32,
    /// Time of the fetches, in milliseconds.
    pub fetch_ms: f64,
    /// Shared parts in order, as far as they are kept or fetched.
    pub parts: Vec<PartFetch>,
}

/// All stores, and what is known of their content.
#[derive(Debug, Clone, Default)]
pub struct MemoryMap {
    views: Vec<StoreView>,
    left_out: MechanismSet,
}

impl MemoryMap {
    /// Nothing is known yet, and some mechanisms are done without.
    pub fn without(left_out: MechanismSet) -> Self {
        MemoryMap {
            left_out,
            ..MemoryMap::default()
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

    /// The view at a place.
    pub fn view_at(
        &mut self,
        place: usize,
    ) -> Option<&mut StoreView> {
        self.views.get_mut(place)
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
    pub fn outlook(
        &self,
        book: &EndpointBook,
        group: &EngineGroup,
        wall: WallTag,
        parts: &[PromptPart],
        now: Micros,
    ) -> Vec<PartOutlook> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let outlook = shared.iter().map(|part| PartOutlook {
            part: *part,
            sources: self.sources(book, group, wall, part, now),
        });
        outlook.collect()
    }

    fn sources(
        &self,
        book: &EndpointBook,
        group: &EngineGroup,
        wall: WallTag,
        part: &PromptPart,
        now: Micros,
    ) -> Vec<PartSource> {
        let bytes = u64::from(part.tokens) * group.token_bytes;
        let mut sources = Vec::new();
        if self.left_out.has(ServingMechanism::Fetches) {
            return sources;
        }
        for (place, view) in self.views.iter().enumerate() {
            let is_whole = view.parts.tokens_of(wall, part.id) >= part.tokens;
            if is_whole && view.fetch_until_ms(now).is_some() {
                sources.push(PartSource {
                    place: PartPlace::Store(place),
                    address: view.store.address,
                    domain: view.store.domain.clone(),
                    fetch_ms: view.fetch_ms(bytes, now),
                });
            }
        }
        let risk_ms = f64::from(part.tokens) * ENGINE_RISK_MS;
        let engine_ms = ENGINE_FIRST_MS + transfer_ms(bytes, group.link_mbps) + risk_ms;
        for (key, entry) in book.iter() {
            let keeps = entry.parts.tokens_of(wall, part.id) >= part.tokens;
            if keeps && is_source(entry, now) {
                sources.push(PartSource {
                    place: PartPlace::Engine(key),
                    address: entry.address,
                    domain: entry.domain.clone(),
                    fetch_ms: engine_ms,
                });
            }
        }
        sources
    }

    /// Notes the fetches that we ask for.
    pub fn fetching(
        &mut self,
        plan: &PromptPlan,
        now: Micros,
    ) {
        for fetch in &plan.parts {
            let Some((source, millis)) = fetch.source.as_ref().filter(|_| !fetch.is_kept) else {
                continue;
            };
            if let PartPlace::Store(place) = source.place {
                if let Some(view) = self.views.get_mut(place) {
                    let wait = view.fetch_ms(0, now) - view.store.first_ms;
                    view.reserve_link(millis - wait, now);
                }
            }
        }
    }

    /// Where each shared part should be saved; nowhere where a store has it, or
    /// where none has room.
    pub fn plan_saves(
        &mut self,
        wall: WallTag,
        parts: &[PromptPart],
        may_keep: &dyn Fn(&KvStore) -> bool,
        now: Micros,
    ) -> Vec<Option<SocketAddr>> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let saves = shared
            .iter()
            .map(|part| self.plan_save(wall, part, may_keep, now));
        saves.collect()
    }

    fn plan_save(
        &mut self,
        wall: WallTag,
        part: &PromptPart,
        may_keep: &dyn Fn(&KvStore) -> bool,
        now: Micros,
    ) -> Option<SocketAddr> {
        let has = |view: &StoreView| view.has_or_expects(wall, part.id, part.tokens);
        if self.left_out.has(ServingMechanism::Stores) || self.views.iter().any(has) {
            return None;
        }
        let mut best: Option<(f64, &mut StoreView)> = None;
        for view in &mut self.views {
            if !may_keep(&view.store) || !view.can_save(part.tokens, now) {
                continue;
            }
            // Boxes that know nothing of each other choose the same home, in
            // proportion to the speed of the stores' links: large stores with slow
            // links would get nearly all fetches, and prompts wait for them. On a
            // replayed day of high load 8 large prompts began late in place of 30 (9
            // engines), on another 2,290 thousand tokens of shared parts were read
            // again in place of 2,913 thousand (52 engines).
            let spread = home_spread(part.id.number(), view.store.address);
            let rank = view.store.link_mbps / -spread.ln();
            if best.as_ref().is_none_or(|(most, _)| rank > *most) {
                best = Some((rank, view));
            }
        }
        let (_, view) = best?;
        view.record_save(wall, part.id, part.tokens, now);
        Some(view.store.address)
    }
}

fn is_source(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let load = entry.fresh_load(now);
    let answers = load.is_some_and(|load| !load.is_silent && !load.is_swapping);
    entry.standing != EndpointStanding::Leaving && answers && !entry.is_suspect(now)
}

/// What an engine does about a prompt: keeps, fetches, and reads the rest.
pub fn plan_prompt(
    key: EndpointKey,
    entry: &EndpointEntry,
    wall: WallTag,
    outlook: &[PartOutlook],
) -> PromptPlan {
    let mut plan = PromptPlan::default();
    for shared in outlook {
        let is_kept = entry.parts.tokens_of(wall, shared.part.id) >= shared.part.tokens;
        let source = best_source(key, entry, &shared.sources);
        match &source {
            _ if is_kept => plan.kept_tokens += shared.part.tokens,
            Some((_, millis)) => {
                plan.fetched_tokens += shared.part.tokens;
                plan.fetch_ms += millis;
            }
            None => break,
        }
        plan.parts.push(PartFetch {
            part: shared.part,
            is_kept,
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
        if source.place == PartPlace::Engine(key) {
            continue;
        }
        let factor = match source.domain == entry.domain {
            true => 1.0,
            false => OTHER_DOMAIN_FACTOR,
        };
        let millis = source.fetch_ms * factor;
        let is_better = best.is_none_or(|(_, least)| millis < least);
        if millis < FETCH_LIMIT_MS && is_better {
            best = Some((source, millis));
        }
    }
    best.map(|(source, millis)| (source.clone(), millis))
}

/// A number between 0 and 1 for a part at a store, evenly spread.
fn home_spread(
    number: u64,
    address: SocketAddr,
) -> f64 {
    let text = address.to_string();
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = text.bytes().fold(number ^ 0xcbf2_9ce4_8422_2325, mix);
    even_part(spread_bits(hash)) + f64::MIN_POSITIVE
}
