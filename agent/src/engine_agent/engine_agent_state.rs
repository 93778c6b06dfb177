use {
    super::{
        EngineAgentMetrics, FrontContacts, PolledKvStores, RelayQueue, SentDigests, SnapshotCache,
    },
    pitchhitch_core::{
        serving::{
            ClaimTable, EndpointNotice, EngineLoad, GrowthTracker, IncarnationOrder,
            IncarnationTracker, ListedIncarnation, NamespaceTag, OriginTable, PaceTracker, PartId,
            ProofTracker, ProvenTable, RateReports, ReportedRun, SuspectTracker,
        },
        time::Micros,
    },
    pitchhitch_wire::engine_agent::DigestPart,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
    },
};

/// Minimum interval between announcements of the engine to fronts that no longer greet.
const ANNOUNCE_INTERVAL: Micros = Micros::from_secs(1);
/// Maximum number of cache changes that wait for the next digest.
const MAX_PENDING_CHANGES: usize = 4_000;

/// Maximum time between two digests, unless the digest interval is longer: fronts treat missing
/// digests as a sign of failure.
pub(crate) const MAX_DIGEST_INTERVAL: Micros = Micros::from_millis(250);
/// Polls of the engine's report per digest; those of its cache changes, which have a price, are as
/// frequent as digests.
const REPORTS_PER_DIGEST: u64 = 3;
/// Minimum and maximum interval between polls of the engine's report.
const REPORT_INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(90), Micros::from_millis(200));
/// Minimum and maximum interval between polls of the engine's cache changes.
const CACHE_POLL_INTERVAL_RANGE: (Micros, Micros) =
    (Micros::from_millis(30), Micros::from_millis(250));

/// Weight version that the engine is to have, and whether it may load it now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WantedVersion {
    /// Version.
    pub version: u64,
    /// When a front last reported that it is the engine's turn to load it.
    pub turn_at: Option<Micros>,
}

/// Mutable state shared by the tasks.
#[derive(Debug, Default)]
pub(crate) struct EngineAgentState {
    /// Load in the engine's latest report.
    pub load: EngineLoad,
    /// Learns the speed of the engine.
    pub pace_tracker: PaceTracker,
    /// Runs in the latest report.
    pub runs: Vec<ReportedRun>,
    /// Measures how fast the answers of the engine's runs take up memory.
    pub growth_tracker: GrowthTracker,
    /// Models and their weight versions in the latest report.
    pub weights: Vec<(String, u64)>,
    /// When a report first had these versions.
    pub weights_changed_at: Micros,
    /// Orders that the engine had accepted at its latest report.
    pub orders_taken: u64,
    /// Time on the engines' clock in the latest report, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Id of the engine, as reported by fronts.
    pub engine_id: Option<String>,
    /// Incarnation to which that id refers.
    pub id_incarnation: ListedIncarnation,
    /// Id of the engine that is leaving, and the incarnation to which the id refers.
    pub leaving: Option<(String, ListedIncarnation)>,
    /// Start of the engine's incarnation, as the engine reports it.
    pub born: Option<u64>,
    /// Distinguishes late reports of an earlier incarnation from a clock that was set back.
    pub incarnation_tracker: IncarnationTracker,
    /// Number of times that the engine lost its cache.
    pub cache_resets: u64,
    /// Send times of recent digests.
    pub sent_digests: SentDigests,
    /// Copy of the fronts' state snapshot.
    pub snapshot_cache: SnapshotCache,
    /// Wanted weight version of each model.
    pub wanted: BTreeMap<String, WantedVersion>,
    /// Cache changes that no digest has reported yet.
    pub pending_changes: VecDeque<DigestPart>,
    /// Whether the engine lost its cache before those changes.
    pub has_cache_reset: bool,
    /// Suspect requests: a copy that survives restarts of all fronts.
    pub suspects: SuspectTracker,
    /// Origins of streams, kept for all fronts.
    pub origins: OriginTable,
    /// Claims of the parts that fronts have saved, kept for all fronts.
    pub claims: ClaimTable,
    /// Counters.
    pub metrics: EngineAgentMetrics,
    /// Fronts that requested all known suspect requests.
    pub suspect_requesters: BTreeSet<SocketAddr>,
    /// Fronts that requested the list of all cached parts.
    pub part_requesters: BTreeSet<SocketAddr>,
    /// Fronts that send greetings.
    pub fronts: FrontContacts,
    /// Interval between digests, which depends on the number of fronts.
    pub digest_interval: Micros,
    /// Whether relays pass on the digests, which adds the interval of a relay to their age.
    pub uses_relays: bool,
    /// Digests of other engines that are to be passed on.
    pub relay_queue: RelayQueue,
    /// Results of fronts' reads of the platform store, by table.
    pub proofs: BTreeMap<ProvenTable, ProofTracker>,
    /// Whether a new result has arrived since the last digest.
    pub has_new_proofs: bool,
    /// KV stores that are polled on behalf of all fronts.
    pub stores: PolledKvStores,
    /// Rates by organisation that fronts have reported.
    pub rates: RateReports<SocketAddr>,
    announced_at: Option<Micros>,
    silent_fronts: usize,
    cached_parts: HashMap<(NamespaceTag, PartId), u32>,
}

impl EngineAgentState {
    /// Load of the engine as sent to fronts: the report's local timestamp is meaningless to others.
    pub fn reported_load(&self) -> EngineLoad {
        let hops = 1 + u64::from(self.uses_relays);
        EngineLoad {
            at: Micros::ZERO,
            again_within: Micros(self.digest_interval.max(MAX_DIGEST_INTERVAL).0 * hops),
            changes_within: Micros(self.digest_interval.0 * hops),
            ..self.load
        }
    }

    /// Whether the engine lacks a wanted weight version.
    pub fn needs_order(&self) -> bool {
        let mut weights = self.weights.iter();
        weights.any(|(model, version)| {
            self.wanted
                .get(model)
                .is_some_and(|wanted| wanted.version > *version)
        })
    }

    /// Interval between polls of the engine's report; the agent runs on the engine's box, so they
    /// cost the engine nothing.
    pub fn report_interval(&self) -> Micros {
        let (min, max) = REPORT_INTERVAL_RANGE;
        Micros(self.digest_interval.0 / REPORTS_PER_DIGEST)
            .max(min)
            .min(max)
    }

    /// Interval between polls of the engine's cache changes. A busy engine answers long polls at
    /// once, and replaces unused parts within a third of a second.
    pub fn cache_poll_interval(&self) -> Micros {
        let (min, max) = CACHE_POLL_INTERVAL_RANGE;
        self.digest_interval.max(min).min(max)
    }

    /// All parts that the engine caches.
    pub fn cached_parts(&self) -> Vec<DigestPart> {
        let parts = self
            .cached_parts
            .iter()
            .map(|((namespace, id), tokens)| DigestPart {
                namespace: *namespace,
                id: *id,
                tokens: *tokens,
            });
        parts.collect()
    }

    /// Records that the engine lost its cache.
    pub fn reset_cache(&mut self) {
        self.cache_resets += 1;
        self.cached_parts.clear();
        self.pending_changes.clear();
        self.has_cache_reset = true;
    }

    /// Records the incarnation that an engine's response belongs to. Returns false if that
    /// incarnation has ended; the response is then to be ignored.
    pub fn record_incarnation(
        &mut self,
        born: Option<u64>,
        now: Micros,
    ) -> bool {
        let order = self.incarnation_tracker.order(self.born, born, now);
        if order == IncarnationOrder::Earlier {
            return false;
        }
        self.born = born.or(self.born);
        if order == IncarnationOrder::Later {
            log::info!(event = "engine-reborn", born = born.unwrap_or(0); "");
            // The next report contains these values for the new incarnation.
            self.load = EngineLoad::default();
            self.pace_tracker.reset();
            self.runs.clear();
            self.weights.clear();
            self.orders_taken = 0;
            self.reset_cache();
        }
        true
    }

    /// Records the engine id in a front's greeting; returns true if it is new. Fronts with outdated
    /// state still send the id of the previous engine at the address, so the id of the engine that
    /// started later is used. If both started at the same time, it is the id of the engine whose
    /// row was written last.
    pub fn record_engine_id(
        &mut self,
        id: &str,
        incarnation: ListedIncarnation,
    ) -> bool {
        let is_new = self.engine_id.as_deref() != Some(id);
        let is_later = incarnation.is_later_than(&self.id_incarnation);
        if is_new && self.engine_id.is_some() && !is_later {
            return false;
        }
        if is_later {
            self.id_incarnation = incarnation;
        }
        if is_new {
            self.engine_id = Some(id.to_string());
        }
        is_new
    }

    /// Records whether an engine is leaving, as a front reports it. Fronts with outdated state
    /// still report it as serving; only a later row or incarnation revokes the leave.
    pub fn record_leaving(
        &mut self,
        id: &str,
        incarnation: ListedIncarnation,
        is_leaving: bool,
    ) {
        let is_known = self
            .leaving
            .as_ref()
            .is_some_and(|(leaving_id, _)| leaving_id == id);
        let known = self.leaving.as_ref().map(|(_, known)| known);
        let is_later = known.is_none_or(|known| incarnation.is_later_than(known));
        if is_leaving && (!is_known || is_later) {
            self.leaving = Some((id.to_string(), incarnation));
        } else if !is_leaving && is_known && is_later {
            self.leaving = None;
        }
    }

    /// Whether the engine's cache has changed since the last digest.
    pub fn has_changes(&self) -> bool {
        self.has_cache_reset || !self.pending_changes.is_empty()
    }

    /// Last known list entry of the engine and the fronts that no longer greet, if an announcement
    /// to them is due.
    pub fn due_announcement(
        &mut self,
        now: Micros,
    ) -> Option<(EndpointNotice, Vec<SocketAddr>)> {
        let is_due = |at: Micros| now.since(at) >= ANNOUNCE_INTERVAL;
        if !self.announced_at.is_none_or(is_due) {
            return None;
        }
        let silent = self.fronts.silent(now);
        let id = self.engine_id.as_deref()?;
        if self.is_leaving() {
            return None;
        }
        let notice = self.snapshot_cache.own_endpoint(id)?.clone();
        self.announced_at = Some(now);
        if silent.len() != self.silent_fronts {
            self.silent_fronts = silent.len();
            log::info!(event = "announced", engine = id, fronts = silent.len(); "");
        }
        if silent.is_empty() {
            return None;
        }
        Some((notice, silent))
    }

    /// Records a change of the engine's cache.
    pub fn record_change(
        &mut self,
        part: DigestPart,
    ) {
        // Changes accumulate while there are no fronts to report to. A front that starts later
        // requests the list of all cached parts, so the oldest changes are of no use.
        if self.pending_changes.len() >= MAX_PENDING_CHANGES {
            self.pending_changes.pop_front();
        }
        match part.tokens {
            0 => self.cached_parts.remove(&(part.namespace, part.id)),
            tokens => self.cached_parts.insert((part.namespace, part.id), tokens),
        };
        self.pending_changes.push_back(part);
    }
}
