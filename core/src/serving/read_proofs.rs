use {
    super::{WeightBelief, VIEW_LIFE},
    crate::time::Micros,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time between two reports up to which an engine counts as awake all the while:
/// three times that of reports of an engine that has no news.
pub const AWAKE_GAP: Micros = Micros::from_millis(800);

/// Time for which a part is held, once nobody is told to fetch it, where some engine
/// does not prove that its fetches are over: it may stand still, or be gone for good,
/// and stores that are full of such parts take nothing else. By judgement: several
/// times the longest standstill that was seen (9 s).
pub const HOLD_LIMIT: Micros = Micros::from_secs(60);

/// Time that an engine must have been awake: the longest fetch that was under way
/// when it woke, and a standstill that reports do not show.
const AWAKE_FOR: Micros = Micros(VIEW_LIFE.0 + AWAKE_GAP.0);

/// Time after which an engine that nobody lists or hears of is not waited for: parts
/// are held no longer for any engine.
const FORGET_AFTER: Micros = HOLD_LIMIT;

/// What shows that fetches of one engine are over.
#[derive(Debug, Clone, Default)]
struct AwakeSpan {
    weights: WeightBelief,
    known_at: Micros,
    from_ms: u64,
    seen_ms: u64,
    proven_ms: u64,
}

impl AwakeSpan {
    fn heard(
        &mut self,
        clock_ms: u64,
    ) {
        // Reports may overtake each other.
        if clock_ms <= self.seen_ms {
            return;
        }
        if clock_ms - self.seen_ms > AWAKE_GAP.as_millis() {
            self.from_ms = clock_ms;
        }
        self.seen_ms = clock_ms;
        if clock_ms - self.from_ms >= AWAKE_FOR.as_millis() {
            self.proven_ms = clock_ms;
        }
    }

    /// Whether it may have been told to fetch parts of a version: who has newer
    /// weights refuses what it had not begun.
    fn may_fetch(
        &self,
        model: &str,
        version: u64,
    ) -> bool {
        match self.weights.is_known() {
            true => self.weights.version(model).is_some_and(|v| v <= version),
            false => true,
        }
    }
}

/// Until when fetches of parts are proven to be over, engine by engine.
///
/// An engine throws a fetch away that begins too late. It does not throw away one that
/// was under way when it stood still: that ends when it wakes, at any later time. So the
/// time that a fetch was given proves nothing; reports of an engine that was awake since do.
///
/// All times are on the engines' clock. Engines are told by address, which no two have
/// at a time: a report from there is one of the engine that is meant, or of one after it.
#[derive(Debug, Clone, Default)]
pub struct ReadProofs {
    engines: BTreeMap<SocketAddr, AwakeSpan>,
}

impl ReadProofs {
    /// Takes which engines there are, and what weights each is believed to have. Two
    /// that follow each other at an address count as one with the older weights.
    pub fn know<'a>(
        &mut self,
        engines: impl Iterator<Item = (SocketAddr, &'a WeightBelief)>,
        now: Micros,
    ) {
        let mut known: BTreeMap<SocketAddr, WeightBelief> = BTreeMap::new();
        for (address, weights) in engines {
            match known.get_mut(&address) {
                Some(before) => before.lower(weights),
                None => drop(known.insert(address, weights.clone())),
            }
        }
        for (address, weights) in known {
            let span = self.engines.entry(address).or_default();
            span.weights = weights;
            span.known_at = now;
        }
    }

    /// Takes a report of an engine, made at `clock_ms`.
    pub fn heard(
        &mut self,
        address: SocketAddr,
        clock_ms: Option<u64>,
        now: Micros,
    ) {
        let span = self.engines.entry(address).or_default();
        span.known_at = now;
        if let Some(clock_ms) = clock_ms {
            span.heard(clock_ms);
        }
    }

    /// Forgets engines that nothing is known of any more.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.engines
            .retain(|_, span| now.since(span.known_at) <= FORGET_AFTER);
    }

    /// Takes that an engine has started again: it may have older weights than before,
    /// and has proven nothing since.
    pub fn restarted(
        &mut self,
        address: SocketAddr,
        now: Micros,
    ) {
        if let Some(span) = self.engines.get_mut(&address) {
            *span = AwakeSpan {
                known_at: now,
                ..AwakeSpan::default()
            };
        }
    }

    /// Takes that something else than an engine answers at an address now.
    pub fn forget(
        &mut self,
        address: SocketAddr,
    ) {
        self.engines.remove(&address);
    }

    /// The time for which this holds: what was told to fetch parts of a version and
    /// should have ended by then has ended. Nobody is left to wait for where it is
    /// the end of all times.
    pub fn over_until_ms(
        &self,
        model: &str,
        version: u64,
    ) -> u64 {
        let spans = self.engines.values();
        let told = spans.filter(|span| span.may_fetch(model, version));
        told.map(|span| span.proven_ms).min().unwrap_or(u64::MAX)
    }

    /// Engines that have not proven it for longer than the others, for the log.
    pub fn last_proven(
        &self,
        model: &str,
        version: u64,
    ) -> Vec<SocketAddr> {
        let until_ms = self.over_until_ms(model, version);
        let engines = self.engines.iter();
        let last = engines
            .filter(|(_, span)| span.may_fetch(model, version) && span.proven_ms == until_ms);
        last.map(|(address, _)| *address).collect()
    }
}
