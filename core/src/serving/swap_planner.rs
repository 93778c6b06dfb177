use {
    super::{EndpointBook, EndpointEntry, EndpointKey, EndpointStanding, PartId, VIEW_LIFE},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Engines of a group that load at once, at least: more slow each other down (the
/// sites' sheets: two of nine, ten of fifty-four).
const LOADS_AT_ONCE: usize = 2;
/// Engines of a group for each that loads at once.
const ENGINES_A_LOAD: usize = 5;
/// Engines that end their long runs meanwhile, at least, and for how many that
/// load one does: an engine that is told to load takes nothing until they ended.
const DRAINS_AT_ONCE: usize = 2;
const LOADS_A_DRAIN: usize = 3;
/// Time that an engine is given to end its long runs before it loads.
const DRAIN_LIMIT: Micros = Micros::from_millis(1_600);
/// Requests that an engine may still run when it is told to load.
const QUIET_RUNNING: u32 = 2;
/// Time after which an engine that was told to load and did not loses its turn.
const TURN_LIMIT: Micros = Micros::from_secs(7);

/// Time for which every part of a version is fetched from stores, from the last
/// reading that showed no newer one: by then the first engines have that.
const FETCH_ALL: Micros = Micros::from_secs(6);
/// Time over which the fetches of its parts end, one after the other, as engines
/// go over and stores need room for parts of the newer version. Together the
/// sites' limit for older weights (12 and 15 s) and a little more. By trial, and a
/// compromise: longer is better right after a naming, shorter some seconds later.
const FETCH_FADE: Micros = Micros::from_secs(10);
/// Time from the end of the fetches until a part is freed, on another box: the
/// longest fetch ([`VIEW_LIFE`]) and half a second.
const FREE_MARGIN: Micros = Micros(VIEW_LIFE.0 + 500_000);

/// Time after which a reading must show a naming that came before. By judgement:
/// several times what the store takes.
const ROW_LAG: Micros = Micros::from_millis(500);

/// Spreads numbers evenly (an odd number near 2^64 over the golden ratio).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// When this box learned of named weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Naming {
    not_yet: Option<Micros>,
    learned_at: Micros,
}

impl Naming {
    /// The earliest time at which the weights may have been named.
    fn since(&self) -> Micros {
        self.not_yet.unwrap_or(self.learned_at)
    }
}

/// New weights that are named, and which engines load them now.
#[derive(Debug, Clone, Default)]
pub struct SwapPlanner {
    named: BTreeMap<String, u64>,
    namings: BTreeMap<(String, u64), Naming>,
    /// Weights that engines had before this box read that they are named.
    ahead: BTreeMap<(String, u64), Micros>,
    turns: BTreeMap<EndpointKey, SwapTurn>,
    missed: BTreeMap<EndpointKey, u32>,
}

/// One engine's turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapTurn {
    /// Model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Since when it is the engine's turn, or since when it is told to load.
    pub since: Micros,
    /// Whether it is told to load now.
    pub loads: bool,
}

/// Turns missed, version, id.
type TurnRank = (u32, u64, String);

/// Where an engine stands with named weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SwapStage {
    /// It has them, or its turn has not come.
    #[default]
    Idle,
    /// It gets no long requests any more.
    Draining,
    /// It loads, and takes nothing.
    Loading,
}

/// For how long a part is fetched after newer weights may have been named; all
/// boxes know it from the part alone.
fn fetch_life(part: PartId) -> Micros {
    // Ids may be counted up: neighbours must not end together.
    let spread = part.number().wrapping_mul(SPREAD_FACTOR).rotate_left(32);
    FETCH_ALL + Micros(spread % FETCH_FADE.0)
}

impl SwapPlanner {
    /// Takes that weights are named; true where that is news.
    ///
    /// `not_yet` is when the last reading was sent that did not show them.
    pub fn name(
        &mut self,
        model: &str,
        version: u64,
        not_yet: Option<Micros>,
        now: Micros,
    ) -> bool {
        let before = self.named(model).unwrap_or(0);
        if version <= before {
            return false;
        }
        self.named.insert(model.to_string(), version);
        let naming = Naming {
            not_yet,
            learned_at: now,
        };
        self.namings.insert((model.to_string(), version), naming);
        true
    }

    /// Takes that an engine has some weights; true where they count as named from
    /// now on. Engines load only what was named, but the row that names it may have
    /// gone back: an older naming can be carried out after a newer one.
    ///
    /// `proven_at` is when the last reading of the rows was sent. When it was named
    /// is not known then, so no parts of older versions are fetched any more.
    pub fn engine_has(
        &mut self,
        model: &str,
        version: u64,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        if self.named(model).is_some_and(|named| version <= named) {
            return false;
        }
        let seen = self.ahead.entry((model.to_string(), version));
        let seen_at = *seen.or_insert(now);
        let row_lacks_it = proven_at.is_some_and(|at| at > seen_at + ROW_LAG);
        row_lacks_it && self.name(model, version, None, now)
    }

    /// Whether a part made under a version may still be fetched from stores.
    ///
    /// They are freed some time after newer weights are named, whatever this box
    /// has heard of it, so what counts is when it last knew of none.
    pub fn may_fetch(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        let known = match self.replaced_by(model, version) {
            Some(naming) => naming.not_yet,
            None => proven_at,
        };
        known.is_some_and(|at| now.since(at) < fetch_life(part))
    }

    /// Whether no box fetches a part made under a version any more.
    pub fn may_free(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        now: Micros,
    ) -> bool {
        let naming = self.replaced_by(model, version);
        let free_after = fetch_life(part) + FREE_MARGIN;
        naming.is_some_and(|naming| now.since(naming.learned_at) > free_after)
    }

    fn replaced_by(
        &self,
        model: &str,
        version: u64,
    ) -> Option<&Naming> {
        let later = (model.to_string(), version + 1)..=(model.to_string(), u64::MAX);
        self.namings.range(later).next().map(|(_, naming)| naming)
    }

    /// The newest version named of a model.
    pub fn named(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.named.get(model).copied()
    }

    /// All named weights.
    pub fn all_named(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named
            .iter()
            .map(|(model, version)| (model.as_str(), *version))
    }

    /// The turn of an engine, if it has one.
    pub fn turn(
        &self,
        key: EndpointKey,
    ) -> Option<&SwapTurn> {
        self.turns.get(&key)
    }

    /// The stage of an engine.
    pub fn stage(
        &self,
        key: EndpointKey,
    ) -> SwapStage {
        match self.turns.get(&key) {
            None => SwapStage::Idle,
            Some(turn) if turn.loads => SwapStage::Loading,
            Some(_) => SwapStage::Draining,
        }
    }

    /// Whether an engine has weights that newer ones are named for since more
    /// than `limit`.
    pub fn is_expired(
        &self,
        entry: &EndpointEntry,
        limit: Micros,
        now: Micros,
    ) -> bool {
        self.named.keys().any(|model| {
            let version = entry.weights.version(model);
            let replaced = version.and_then(|version| self.replaced_by(model, version));
            replaced.is_some_and(|naming| now.since(naming.since()) > limit)
        })
    }

    /// Whether an engine lacks named weights.
    pub fn is_behind(
        &self,
        entry: &EndpointEntry,
    ) -> bool {
        self.lack(entry).is_some()
    }

    /// Gives turns anew; returns those of engines that are told to load now.
    pub fn plan(
        &mut self,
        book: &EndpointBook,
        now: Micros,
    ) -> Vec<(EndpointKey, SwapTurn)> {
        for turn in self.turns.values_mut() {
            // Newer weights overtake those that the turn was given for.
            turn.version = self.named.get(&turn.model).copied().unwrap_or(turn.version);
        }
        self.end_turns(book, now);
        let mut begun = Vec::new();
        while let Some((key, turn)) = self.next_turn(book, now) {
            self.turns.insert(key, turn);
        }
        self.begin_loads(book, now, &mut begun);
        begun
    }

    /// Tells engines to load that are quiet, or have had time to become so.
    fn begin_loads(
        &mut self,
        book: &EndpointBook,
        now: Micros,
        begun: &mut Vec<(EndpointKey, SwapTurn)>,
    ) {
        let service = |key: EndpointKey| book.get(key).map(|entry| entry.service.as_str());
        let mut loading: Vec<EndpointKey> = Vec::new();
        let mut waiting: Vec<(TurnRank, EndpointKey)> = Vec::new();
        for (key, turn) in &self.turns {
            match (turn.loads, book.get(*key)) {
                (true, _) => loading.push(*key),
                (false, Some(entry)) => waiting.push((self.rank(*key, entry, turn), *key)),
                (false, None) => {}
            }
        }
        waiting.sort();
        for (_, key) in waiting {
            let others = loading
                .iter()
                .filter(|other| service(**other) == service(key));
            let running = book.get(key).map_or(0, |entry| entry.occupied(now));
            let count = others.count();
            let limit = service(key).map_or(0, |service| loads_at_once(book, service));
            let Some(turn) = self.turns.get_mut(&key) else {
                continue;
            };
            let is_quiet = running <= QUIET_RUNNING || now.since(turn.since) >= DRAIN_LIMIT;
            if count < limit && is_quiet {
                turn.loads = true;
                turn.since = now;
                loading.push(key);
                begun.push((key, turn.clone()));
            }
        }
    }

    /// Order of turns, the same at all boxes: those that missed one go last, and
    /// the oldest weights first, as their time runs out first.
    fn rank(
        &self,
        key: EndpointKey,
        entry: &EndpointEntry,
        turn: &SwapTurn,
    ) -> TurnRank {
        let missed = self.missed.get(&key).copied().unwrap_or(0);
        let version = entry.weights.version(&turn.model).unwrap_or(0);
        (missed, version, entry.id.clone())
    }

    fn lack(
        &self,
        entry: &EndpointEntry,
    ) -> Option<(String, u64)> {
        let mut named = self.named.iter();
        let lacking = named.find(|(model, version)| {
            entry
                .weights
                .version(model)
                .is_some_and(|known| known < **version)
        });
        lacking.map(|(model, version)| (model.clone(), *version))
    }

    fn end_turns(
        &mut self,
        book: &EndpointBook,
        now: Micros,
    ) {
        let missed = &mut self.missed;
        self.turns.retain(|key, turn| {
            let entry = book
                .get(*key)
                .filter(|e| e.standing != EndpointStanding::Leaving);
            let Some(entry) = entry else {
                return false;
            };
            let has = entry.weights.version(&turn.model);
            if has.is_some_and(|has| has >= turn.version) {
                missed.remove(key);
                return false;
            }
            let is_over = turn.loads && now.since(turn.since) > TURN_LIMIT;
            if is_over {
                *missed.entry(*key).or_default() += 1;
            }
            !is_over
        });
        missed.retain(|key, _| book.get(*key).is_some());
    }

    /// The next engine that gets a turn.
    fn next_turn(
        &self,
        book: &EndpointBook,
        now: Micros,
    ) -> Option<(EndpointKey, SwapTurn)> {
        let waits = |(key, entry): &(EndpointKey, &EndpointEntry)| {
            let heard = entry.fresh_load(now).is_some_and(|load| !load.is_silent);
            entry.standing != EndpointStanding::Leaving && heard && !self.turns.contains_key(key)
        };
        let mut next: Option<(TurnRank, EndpointKey, SwapTurn)> = None;
        for (key, entry) in book.iter().filter(waits) {
            let Some((model, version)) = self.lack(entry) else {
                continue;
            };
            let in_group = |other: &&EndpointKey| {
                book.get(**other)
                    .is_some_and(|other| other.service == entry.service)
            };
            let loads = loads_at_once(book, &entry.service);
            let limit = loads + DRAINS_AT_ONCE.max(loads / LOADS_A_DRAIN);
            if self.turns.keys().filter(in_group).count() >= limit {
                continue;
            }
            let turn = SwapTurn {
                model,
                version,
                since: now,
                loads: false,
            };
            let rank = self.rank(key, entry, &turn);
            if next.as_ref().is_none_or(|(least, ..)| rank < *least) {
                next = Some((rank, key, turn));
            }
        }
        next.map(|(_, key, turn)| (key, turn))
    }
}

fn loads_at_once(
    book: &EndpointBook,
    service: &str,
) -> usize {
    let serves = |entry: &&EndpointEntry| {
        entry.service == service && entry.standing != EndpointStanding::Leaving
    };
    let engines = book.iter().map(|(_, entry)| entry).filter(serves).count();
    LOADS_AT_ONCE.max(engines / ENGINES_A_LOAD)
}
