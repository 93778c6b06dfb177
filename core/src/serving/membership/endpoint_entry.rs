use {
    crate::serving::{
        EndpointContact, EndpointIncarnation, EndpointRejoin, EndpointRest, EndpointSlowStart,
        EngineRate, KnownWeights, LatencyEstimator, ListedSoftware, PartIndex, PlainTime,
        SoftwareTag, StatedLimit, StorePosition, SwapStage,
    },
    crate::{retry::OutlierGuard, time::Micros},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An endpoint as reported by the platform's endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Id; where start times are reported, all incarnations of the endpoint share it.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// Maximum concurrent requests; 0 if unknown.
    pub slots: u32,
    /// Version of its software; empty if unknown.
    pub software: String,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it disappeared from the list without announcing that it leaves; set only in notices
    /// that another box forwards.
    pub is_away: bool,
    /// Models and their weight versions.
    pub weights: Vec<(String, u64)>,
    /// Start of this incarnation, in milliseconds since 1970, if reported.
    pub born: Option<u64>,
    /// Time for which it still starts slowly, counted from the notice, in milliseconds, if
    /// reported.
    pub slow_ms: Option<u64>,
    /// Store position of the row; unset if another box forwards the notice.
    pub row: StorePosition,
}

/// Load report of an engine, sent by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Time of the report, on the local clock.
    pub at: Micros,
    /// Time within which the next report arrives unless it is lost.
    pub again_within: Micros,
    /// Time within which a change is reported.
    pub changes_within: Micros,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests without output so far: waiting or in prefill.
    pub unread: u32,
    /// Requests in prefill; included in `unread`.
    pub reading: u32,
    /// Memory in use that cannot be evicted, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub total_tokens: u64,
    /// Whether new weights are being loaded or about to be loaded.
    pub is_swapping: bool,
    /// Whether the engine does not answer its agent.
    pub is_silent: bool,
    /// Runs with output whose size class is short.
    pub short_runs: u32,
    /// Memory of these runs, in tokens.
    pub short_tokens: u64,
    /// Memory of those short runs that would be long at twice their size, in tokens.
    pub near_limit_tokens: u64,
    /// Memory of the other runs with output, in tokens.
    pub long_tokens: u64,
    /// Time between two events of a stream without prefill of long prompts, in microseconds; 0 if
    /// unknown.
    pub pace_us: u32,
    /// Time between two events of a stream in the last second, in microseconds; 0 if unknown.
    pub event_gap_us: u32,
}

impl EngineLoad {
    /// Age of a report at which more than one later report is missing.
    pub(in crate::serving) fn report_timeout(&self) -> Micros {
        Micros(self.again_within.0 * 5 / 2)
    }

    /// Whether the next report is late.
    fn is_overdue(
        &self,
        now: Micros,
    ) -> bool {
        now.since(self.at) > self.again_within + REPORT_LATENESS
    }
}

/// Whether an endpoint may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts requests.
    Serving,
    /// Its entry disappeared while the store was failing: it may still serve.
    Lapsed,
    /// It is leaving or has left.
    Leaving,
}

impl EndpointStatus {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointStatus::Serving => "serving",
            EndpointStatus::Lapsed => "lapsed",
            EndpointStatus::Leaving => "leaving",
        }
    }
}

/// A request of this front that an endpoint has received and not begun to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingPrefill {
    /// Ticket of the request.
    pub ticket: u64,
    /// Tokens that the endpoint must prefill for it.
    pub tokens: u32,
    /// Memory that it takes at the endpoint, in tokens, including cached and fetched parts.
    pub memory_tokens: u32,
    /// Its priority; engines prefill the more urgent requests first.
    pub priority: u8,
    /// When it was sent.
    pub sent_at: Micros,
}

/// State of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Id; where start times are reported, all incarnations of the endpoint share it.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Maximum concurrent requests; 0 if unknown.
    pub slots: u32,
    /// Version of its software; empty if none is stated or known.
    pub software: String,
    /// Software that its entry on the list names.
    pub listed_software: ListedSoftware,
    /// Tag of its service and software, set with them: choices compare it for each endpoint.
    pub(in crate::serving) software_tag: SoftwareTag,
    /// Whether it may receive requests.
    pub status: EndpointStatus,
    /// Whether another endpoint of its service was listed later at the same address, so that this
    /// one is no longer reachable there.
    pub is_superseded: bool,
    /// Whether it may rejoin after it was seen leaving.
    pub rejoin: EndpointRejoin,
    /// Interval at which it is probed although its entry has not reappeared; it serves while it
    /// confirms that.
    pub unlisted_interval: Option<Micros>,
    /// List notice of an earlier incarnation that arrived after the endpoint left: either a delayed
    /// write, or the endpoint restarted after its clock was set back. A probe decides.
    pub rollback_notice: Option<EndpointNotice>,
    /// Whether a response of this incarnation stated that it is leaving.
    pub states_leaving: bool,
    /// When it was first seen as leaving.
    pub left_at: Option<Micros>,
    /// Its current incarnation.
    pub incarnation: EndpointIncarnation,
    /// Weight versions that it is believed to have.
    pub weights: KnownWeights,
    /// Latest load report.
    pub load: Option<EngineLoad>,
    /// Prompt parts that it is believed to cache.
    pub parts: PartIndex,
    /// Whether its complete cache content has been reported since it became known.
    pub is_mirrored: bool,
    /// Progress of its slow start.
    pub slow_start: EndpointSlowStart,
    /// Request rate that it states in its responses.
    pub stated_limit: StatedLimit,
    /// Time for which it has asked this box to send nothing.
    pub rest: EndpointRest,
    /// Its speed compared with the other engines of its service.
    pub rate: EngineRate,
    /// Time that requests of this front take there, if it has no engine.
    pub plain_time: PlainTime,
    /// Ejects the endpoint after failures.
    pub guard: OutlierGuard,
    /// When it was last heard while it ran requests of this box.
    pub contact: EndpointContact,
    /// When it last answered a request of this front.
    pub answered_at: Option<Micros>,
    /// Its stage in a weight swap.
    pub stage: SwapStage,
    /// Requests of this front that run or wait there.
    pub running: u32,
    /// Requests of this front that it has not begun to answer; included in `running`.
    pub pending_prefills: Vec<PendingPrefill>,
}

/// Age from which a report is too old to describe the engine's queue.
const REPORT_MAX_AGE: Micros = Micros::from_millis(1_500);
/// Time until a sent request shows up in a report.
const REPORT_LAG: Micros = Micros::from_millis(40);

/// Average share of a prompt that is done while it is in prefill.
const PREFILL_PROGRESS: f64 = 0.5;

/// Percentage of an engine's memory that prompts may fill. Answers grow in the rest; when that runs
/// out, the engine preempts a prompt and prefills it again.
const PROMPT_MEMORY_PERCENT: u64 = 90;

/// Time by which reports may be late.
const REPORT_LATENESS: Micros = Micros::from_millis(50);
/// Age of the latest report from which an endpoint may be unreachable.
const UNREACHABLE_AFTER: Micros = Micros::from_millis(700);
/// Age of the latest report from which the agent is assumed to have failed, not the endpoint; the
/// outcome of requests then shows whether the endpoint is healthy.
const UNREPORTED_AFTER: Micros = Micros::from_secs(6);

impl EndpointEntry {
    /// Whether the endpoint's reports have stopped recently and it has not answered a request
    /// recently either.
    pub fn may_be_unreachable(
        &self,
        now: Micros,
    ) -> bool {
        let Some(load) = &self.load else {
            return false;
        };
        let age = now.since(load.at);
        let answered = self
            .answered_at
            .is_some_and(|at| now.since(at) < UNREACHABLE_AFTER);
        age > UNREACHABLE_AFTER.max(load.report_timeout()) && age < UNREPORTED_AFTER && !answered
    }

    /// Whether the endpoint's next report is late.
    pub fn is_report_overdue(
        &self,
        now: Micros,
    ) -> bool {
        self.load.is_some_and(|load| load.is_overdue(now))
    }

    /// Latest load report, unless it is too old.
    pub fn fresh_load(
        &self,
        now: Micros,
    ) -> Option<&EngineLoad> {
        self.load
            .as_ref()
            .filter(|load| now.since(load.at) < REPORT_MAX_AGE.max(load.report_timeout()))
    }

    /// Requests of other fronts that the endpoint has not begun to answer.
    pub fn other_pending_prefills(
        &self,
        now: Micros,
    ) -> u32 {
        let Some(load) = self.fresh_load(now) else {
            return 0;
        };
        let is_reported = |prefill: &&PendingPrefill| prefill.sent_at + REPORT_LAG < load.at;
        let own = self.pending_prefills.iter().filter(is_reported).count() as u32;
        load.unread.saturating_sub(own)
    }

    /// Tokens that the endpoint still has to prefill for other fronts: an average prompt for each
    /// waiting request and half of one for each in prefill. The older the report, the greater the
    /// weight of the average over all engines: without this, each of a hundred boxes sent its
    /// prompts to the engine that had been idle half a second before.
    pub fn other_prefill_tokens(
        &self,
        now: Micros,
        estimator: &LatencyEstimator,
    ) -> f64 {
        let Some(load) = self.fresh_load(now) else {
            return 0.0;
        };
        let prefill_fraction = f64::from(load.reading) / f64::from(load.unread.max(1));
        let others = f64::from(self.other_pending_prefills(now));
        let reported =
            others * (1.0 - prefill_fraction * PREFILL_PROGRESS) * estimator.prefill_tokens();
        let average = estimator.mean_queued_tokens();
        // Unchanged values are not reported again.
        let age = now.since(load.at).min(load.changes_within);
        average + (reported - average) * estimator.report_weight(age)
    }

    /// Tokens to prefill for requests of this front that precede a request of this priority.
    pub fn pending_tokens(
        &self,
        priority: u8,
    ) -> u64 {
        let before = self
            .pending_prefills
            .iter()
            .filter(|prefill| prefill.priority <= priority);
        before.map(|prefill| u64::from(prefill.tokens)).sum()
    }

    /// Memory for prompts that the latest report does not include, in tokens: requests of this
    /// front sent since, and waiting requests. Prompts in prefill already occupy their memory.
    pub fn unreported_tokens(
        &self,
        now: Micros,
        estimator: &LatencyEstimator,
    ) -> u64 {
        let load = self.fresh_load(now);
        let is_new =
            |prefill: &&PendingPrefill| load.is_none_or(|l| prefill.sent_at + REPORT_LAG >= l.at);
        let ours = self.pending_prefills.iter().filter(is_new);
        let ours: u64 = ours.map(|prefill| u64::from(prefill.memory_tokens)).sum();
        let waiting = load.map_or(0.0, |load| f64::from(load.waiting));
        ours + (waiting * estimator.prompt_tokens()) as u64
    }

    /// Memory left for further prompts, in tokens, without the reserve for growing answers. `None`
    /// without a fresh report, and if no memory is in use: then even the largest prompt delays no
    /// other request.
    pub fn free_tokens(
        &self,
        now: Micros,
        estimator: &LatencyEstimator,
    ) -> Option<u64> {
        let load = self.fresh_load(now)?;
        let usable = load.total_tokens * PROMPT_MEMORY_PERCENT / 100;
        let used = load.used_tokens + self.unreported_tokens(now, estimator);
        (used > 0).then(|| usable.saturating_sub(used))
    }

    /// Known number of requests that it runs or queues.
    pub fn occupied(
        &self,
        now: Micros,
    ) -> u32 {
        let reported = self
            .fresh_load(now)
            .map_or(0, |l| l.running.saturating_add(l.waiting));
        reported.max(self.running)
    }
}
