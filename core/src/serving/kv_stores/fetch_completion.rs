use {
    crate::serving::{KnownWeights, VIEW_TTL},
    crate::time::Micros,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Longest time between two reports during which an engine counts as running without a pause:
/// three times the report interval of an engine without changes.
pub const MAX_REPORT_GAP: Micros = Micros::from_millis(800);

/// Longest time for which a part is retained after boxes have stopped requesting fetches of it, if
/// some engine does not prove that its fetches have ended. The engine may be paused or permanently
/// lost, and stores full of such parts accept nothing else. Several times the longest pause seen (9
/// s).
pub const RECLAIM_TIMEOUT: Micros = Micros::from_secs(60);

/// Time that an engine must have run without a pause: the longest fetch that was in progress when
/// it resumed, plus a pause that reports do not show.
const MIN_RUN_TIME: Micros = Micros(VIEW_TTL.0 + MAX_REPORT_GAP.0);

/// Time after which an engine that is neither listed nor reporting is no longer waited for: no part
/// is retained for longer than this.
const ENGINE_RETENTION: Micros = RECLAIM_TIMEOUT;

/// Evidence that the fetches of one engine are over: its current run without a pause.
#[derive(Debug, Clone, Default)]
struct RunPeriod {
    weights: KnownWeights,
    known_at: Micros,
    /// First report after the last pause.
    started_ms: u64,
    /// Latest report.
    reported_ms: u64,
    /// Latest report by which the engine had run for `MIN_RUN_TIME`.
    proven_ms: u64,
}

impl RunPeriod {
    fn record_report(
        &mut self,
        clock_ms: u64,
    ) {
        // Reports may arrive out of order.
        if clock_ms <= self.reported_ms {
            return;
        }
        if clock_ms - self.reported_ms > MAX_REPORT_GAP.as_millis() {
            self.started_ms = clock_ms;
        }
        self.reported_ms = clock_ms;
        if clock_ms - self.started_ms >= MIN_RUN_TIME.as_millis() {
            self.proven_ms = clock_ms;
        }
    }

    /// Whether the engine may still fetch parts of a version: an engine with newer weights refuses
    /// fetches that it had not begun.
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

/// Tracks for each engine until when its fetches of parts are proven to be over.
///
/// An engine discards a fetch that begins too late, but not one that was in progress when it was
/// paused: that one can end at any time after the engine resumes. The deadline of a fetch therefore
/// proves nothing; reports of an engine that has since run without a pause do.
///
/// All times are on the engines' clock. Engines are identified by address, which only one engine
/// has at a time: a report from an address comes from the engine meant or from its successor.
#[derive(Debug, Clone, Default)]
pub struct FetchCompletion {
    engines: BTreeMap<SocketAddr, RunPeriod>,
}

impl FetchCompletion {
    /// Updates the set of engines and the weights that each is believed to have. Two engines that
    /// follow each other at an address count as one with the older weights.
    pub fn update_engines<'a>(
        &mut self,
        engines: impl Iterator<Item = (SocketAddr, &'a KnownWeights)>,
        now: Micros,
    ) {
        let mut known: BTreeMap<SocketAddr, KnownWeights> = BTreeMap::new();
        for (address, weights) in engines {
            match known.get_mut(&address) {
                Some(before) => before.merge_oldest(weights),
                None => drop(known.insert(address, weights.clone())),
            }
        }
        for (address, weights) in known {
            let period = self.engines.entry(address).or_default();
            period.weights = weights;
            period.known_at = now;
        }
    }

    /// Records a report that an engine made at `clock_ms`.
    pub fn record_report(
        &mut self,
        address: SocketAddr,
        clock_ms: Option<u64>,
        now: Micros,
    ) {
        let period = self.engines.entry(address).or_default();
        period.known_at = now;
        if let Some(clock_ms) = clock_ms {
            period.record_report(clock_ms);
        }
    }

    /// Removes engines that have been neither listed nor reporting for `ENGINE_RETENTION`.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        self.engines
            .retain(|_, period| now.since(period.known_at) <= ENGINE_RETENTION);
    }

    /// Records that an engine has restarted: it may have older weights than before, and has proven
    /// nothing since.
    pub fn record_restart(
        &mut self,
        address: SocketAddr,
        now: Micros,
    ) {
        if let Some(period) = self.engines.get_mut(&address) {
            *period = RunPeriod {
                known_at: now,
                ..RunPeriod::default()
            };
        }
    }

    /// Removes an address that no longer belongs to an engine.
    pub fn forget(
        &mut self,
        address: SocketAddr,
    ) {
        self.engines.remove(&address);
    }

    /// Time such that all fetches of a version's parts that were due to end before it are proven to
    /// have ended. `u64::MAX` if there is no engine to wait for.
    pub fn completed_until_ms(
        &self,
        model: &str,
        version: u64,
    ) -> u64 {
        let periods = self.engines.values();
        let fetching = periods.filter(|period| period.may_fetch(model, version));
        fetching
            .map(|period| period.proven_ms)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Engines with the oldest proof for a version, for the log.
    pub fn oldest_proven(
        &self,
        model: &str,
        version: u64,
    ) -> Vec<SocketAddr> {
        let until_ms = self.completed_until_ms(model, version);
        let engines = self.engines.iter();
        let oldest = engines
            .filter(|(_, period)| period.may_fetch(model, version) && period.proven_ms == until_ms);
        oldest.map(|(address, _)| *address).collect()
    }
}
