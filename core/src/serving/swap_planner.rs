use {
    super::{weight_namings::Naming, EndpointEntry, EndpointKey, EndpointRegistry},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Engines of a group that load at once, at least: more slow each other down (the
/// sites' sheets: two of nine, ten of fifty-four).
const LOADS_AT_ONCE: usize = 2;
/// Engines of a group for each that loads at once.
const ENGINES_A_LOAD: usize = 5;
/// Loads at once for each of those where the weights' time is over: such engines serve
/// nothing, so their loads only slow each other down, and none waits for word that another
/// has ended. 40 engines that woke together with old weights had all newer ones 5.5 s later
/// in place of 5.8 s.
const OVERDUE_LOADS: usize = 2;
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

/// New weights that are named, and which engines load them now.
#[derive(Debug, Clone, Default)]
pub struct SwapPlanner {
    pub(super) named: BTreeMap<String, u64>,
    pub(super) namings: BTreeMap<(String, u64), Naming>,
    /// Weights that engines had before this box read that they are named.
    pub(super) ahead: BTreeMap<(String, u64), Micros>,
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

/// Turns missed, whether it is on no list, version, id.
type TurnRank = (u32, bool, u64, String);

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

impl SwapPlanner {
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

    /// Gives turns anew; returns those of engines that are told to load now. `limit` is for how
    /// long requests begin on weights after newer ones are named.
    pub fn plan(
        &mut self,
        book: &EndpointRegistry,
        limit: Micros,
        now: Micros,
    ) -> Vec<(EndpointKey, SwapTurn)> {
        for turn in self.turns.values_mut() {
            // Newer weights overtake those that the turn was given for.
            turn.version = self.named.get(&turn.model).copied().unwrap_or(turn.version);
        }
        self.end_turns(book, now);
        let mut begun = Vec::new();
        while let Some((key, turn)) = self.next_turn(book, limit, now) {
            self.turns.insert(key, turn);
        }
        self.begin_loads(book, limit, now, &mut begun);
        begun
    }

    /// How many engines of its group may load together with one.
    fn loads_at_once(
        &self,
        book: &EndpointRegistry,
        entry: &EndpointEntry,
        model: &str,
        limit: Micros,
        now: Micros,
    ) -> usize {
        let loads = loads_at_once(book, &entry.service, now);
        let bounds = self.bounds(model, limit, now);
        match bounds.allows(entry.weights.version(model)) {
            true => loads,
            false => loads * OVERDUE_LOADS,
        }
    }

    /// Tells engines to load that are quiet, or have had time to become so.
    fn begin_loads(
        &mut self,
        book: &EndpointRegistry,
        limit: Micros,
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
            let (Some(entry), Some(turn)) = (book.get(key), self.turns.get(&key)) else {
                continue;
            };
            let most = self.loads_at_once(book, entry, &turn.model, limit, now);
            let Some(turn) = self.turns.get_mut(&key) else {
                continue;
            };
            let is_quiet = running <= QUIET_RUNNING || now.since(turn.since) >= DRAIN_LIMIT;
            if count < most && is_quiet {
                turn.loads = true;
                turn.since = now;
                loading.push(key);
                begun.push((key, turn.clone()));
            }
        }
    }

    /// Order of turns, the same at all boxes: those that missed one go last, those that get
    /// no requests after the others, and the oldest weights first, as their time runs out first.
    fn rank(
        &self,
        key: EndpointKey,
        entry: &EndpointEntry,
        turn: &SwapTurn,
    ) -> TurnRank {
        let missed = self.missed.get(&key).copied().unwrap_or(0);
        let version = entry.weights.version(&turn.model).unwrap_or(0);
        (missed, !entry.is_listed(), version, entry.id.clone())
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
        book: &EndpointRegistry,
        now: Micros,
    ) {
        let missed = &mut self.missed;
        self.turns.retain(|key, turn| {
            let Some(entry) = book.get(*key).filter(|e| is_there(e, now)) else {
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
        book: &EndpointRegistry,
        limit: Micros,
        now: Micros,
    ) -> Option<(EndpointKey, SwapTurn)> {
        // One that is heard loads also where its entry only went: an engine whose box had
        // stood still kept replaced weights for as long as the list did not show it again.
        let waits = |(key, entry): &(EndpointKey, &EndpointEntry)| {
            is_heard(entry, now) && entry.may_be_present() && !self.turns.contains_key(key)
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
            let loads = self.loads_at_once(book, entry, &model, limit, now);
            let most = loads + DRAINS_AT_ONCE.max(loads / LOADS_A_DRAIN);
            if self.turns.keys().filter(in_group).count() >= most {
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
    book: &EndpointRegistry,
    service: &str,
    now: Micros,
) -> usize {
    let serves = |entry: &&EndpointEntry| entry.service == service && is_there(entry, now);
    let engines = book.iter().map(|(_, entry)| entry).filter(serves).count();
    LOADS_AT_ONCE.max(engines / ENGINES_A_LOAD)
}

/// Whether an endpoint counts: one that is on no list only where it is heard, as it may have
/// ended: its turn would keep others from theirs.
fn is_there(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    entry.is_listed() || (entry.may_be_present() && is_heard(entry, now))
}

fn is_heard(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    entry.fresh_load(now).is_some_and(|load| !load.is_silent)
}
