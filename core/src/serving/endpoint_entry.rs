use {
    super::{
        EndpointLife, EndpointReturn, EndpointSlowStart, EnginePace, KnownWeights, PartMemory,
        StorePosition, SwapStage,
    },
    crate::{retry::OutlierGuard, time::Micros},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What the platform's list says of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Id; where starts are told, all lives of the endpoint have the same.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once; 0 where that is not told.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it only is on the list no more, without having said that it leaves; told
    /// only by what another box hands on.
    pub is_away: bool,
    /// Models and the versions of their weights.
    pub weights: Vec<(String, u64)>,
    /// Start of this life of the endpoint, in milliseconds since 1970, where told.
    pub born: Option<u64>,
    /// For how long it is slow after its start as of then, in milliseconds, where that is told.
    pub slow_ms: Option<u64>,
    /// Position of the row that says so; none is told where another box hands it on.
    pub row: StorePosition,
}

/// What the process beside an engine reports of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// When the report was taken, on our clock.
    pub at: Micros,
    /// Time in which the next one comes, unless it gets lost.
    pub again_within: Micros,
    /// Time in which it is told where it changes.
    pub changes_within: Micros,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that have made nothing yet: waiting, or being read.
    pub unread: u32,
    /// Those of them that are being read.
    pub reading: u32,
    /// Memory in use that cannot give way, in tokens.
    pub used_tokens: u64,
    /// All memory, in tokens.
    pub total_tokens: u64,
    /// Whether new weights are being loaded, or are about to be.
    pub is_swapping: bool,
    /// Whether the engine fails to answer the process beside it.
    pub is_silent: bool,
}

impl EngineLoad {
    /// Time after which more than one report is missing.
    fn missed(&self) -> Micros {
        Micros(self.again_within.0 * 5 / 2)
    }
}

/// Whether an endpoint may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStanding {
    /// It serves.
    Serving,
    /// Its entry went while the store was in trouble: it may still serve.
    Lapsed,
    /// It leaves, or is gone.
    Leaving,
}

/// A request of ours that an endpoint has and has not begun to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadWork {
    /// Ticket of the request.
    pub ticket: u64,
    /// Tokens that the endpoint must read for it.
    pub tokens: u32,
    /// Memory that it takes at the endpoint, in tokens; what is kept or fetched counts too.
    pub memory_tokens: u32,
    /// Its rank; engines read the more urgent first.
    pub rank: u8,
    /// When it was sent.
    pub sent_at: Micros,
}

/// All that is known of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Id; where starts are told, all lives of the endpoint have the same.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once; 0 where that is not told.
    pub slots: u32,
    /// Whether it may get requests.
    pub standing: EndpointStanding,
    /// Whether another endpoint of its service was listed later at its address: nobody answers
    /// there for it, as far as is known.
    pub is_overtaken: bool,
    /// Whether it may come back, once it is leaving.
    pub comeback: EndpointReturn,
    /// What the list says of it since it left, of a life that was born earlier: a late write,
    /// or the word of one whose clock was set back. It is asked which.
    pub set_back: Option<EndpointNotice>,
    /// Since when it is known to be leaving.
    pub left_at: Option<Micros>,
    /// Which of its lives is known.
    pub life: EndpointLife,
    /// Versions of its weights.
    pub weights: KnownWeights,
    /// Last report from beside it.
    pub load: Option<EngineLoad>,
    /// Parts that it is believed to keep.
    pub parts: PartMemory,
    /// Whether all that it keeps has been told since it is known.
    pub is_mirrored: bool,
    /// How it stands with the load that it bears after its start.
    pub slow_start: EndpointSlowStart,
    /// Its failures.
    pub guard: OutlierGuard,
    /// When it last answered a request of ours.
    pub answered_at: Option<Micros>,
    /// Where it stands with named weights.
    pub stage: SwapStage,
    /// Requests of ours that it has.
    pub running: u32,
    /// Those of them that it has not begun to answer.
    pub unread: Vec<UnreadWork>,
}

/// Age at which a report says nothing of the engine's queue any more.
const REPORT_LIFE: Micros = Micros::from_millis(1_500);
/// Time that a request takes to show up in a report.
const REPORT_LAG: Micros = Micros::from_millis(40);

/// Part of a prompt that is being read which has been read already, on average.
const READ_PART: f64 = 0.5;

/// Part of an engine's memory that prompts may fill, in hundredths. Answers grow
/// in the rest; where it is used up, an engine puts a prompt back and reads it anew.
/// Filled to the last, 182 prompts of six replayed days were put back, to nine tenths
/// 16; 80 to 94 in 100 are not told apart.
const FILLED_PART: u64 = 90;

/// Age from which a missing report makes an endpoint suspect.
const SUSPECT_AFTER: Micros = Micros::from_millis(700);
/// Age from which it shows only that nobody reports: requests tell then.
const UNREPORTED_AFTER: Micros = Micros::from_secs(6);

impl EndpointEntry {
    /// Whether reports of this endpoint have just stopped and no answer of it
    /// has come since: it may be dark.
    pub fn is_suspect(
        &self,
        now: Micros,
    ) -> bool {
        let Some(load) = &self.load else {
            return false;
        };
        let age = now.since(load.at);
        let answered = self
            .answered_at
            .is_some_and(|at| now.since(at) < SUSPECT_AFTER);
        age > SUSPECT_AFTER.max(load.missed()) && age < UNREPORTED_AFTER && !answered
    }

    /// Report that is fresh enough to go by.
    pub fn fresh_load(
        &self,
        now: Micros,
    ) -> Option<&EngineLoad> {
        self.load
            .as_ref()
            .filter(|load| now.since(load.at) < REPORT_LIFE.max(load.missed()))
    }

    /// Requests of others that the endpoint has not begun to answer.
    pub fn unread_of_others(
        &self,
        now: Micros,
    ) -> u32 {
        let Some(load) = self.fresh_load(now) else {
            return 0;
        };
        let seen = |work: &&UnreadWork| work.sent_at + REPORT_LAG < load.at;
        let own = self.unread.iter().filter(seen).count() as u32;
        load.unread.saturating_sub(own)
    }

    /// Tokens that the endpoint still has to read for others: a usual prompt for each
    /// that waits, and half of one for each that is being read. A report that was taken some
    /// time ago says less and less of them, and the mean of all more: of a hundred boxes each
    /// sent its prompts to the engine that had been idle half a second before.
    pub fn tokens_of_others(
        &self,
        now: Micros,
        pace: &EnginePace,
    ) -> f64 {
        let Some(load) = self.fresh_load(now) else {
            return 0.0;
        };
        let reading = f64::from(load.reading) / f64::from(load.unread.max(1));
        let others = f64::from(self.unread_of_others(now));
        let told = others * (1.0 - reading * READ_PART) * pace.unread_tokens();
        let usual = pace.queued_tokens();
        // What did not change since is not told again.
        let age = now.since(load.at).min(load.changes_within);
        usual + (told - usual) * pace.still_holds(age)
    }

    /// Tokens that our requests still have to be read for, of those that go
    /// before a request of this rank.
    pub fn unread_tokens(
        &self,
        rank: u8,
    ) -> u64 {
        let before = self.unread.iter().filter(|work| work.rank <= rank);
        before.map(|work| u64::from(work.tokens)).sum()
    }

    /// Memory for prompts that the last report does not count yet, in tokens: ours
    /// that were sent since, and those that wait. What is being read has its memory.
    pub fn coming_tokens(
        &self,
        now: Micros,
        pace: &EnginePace,
    ) -> u64 {
        let load = self.fresh_load(now);
        let is_new = |work: &&UnreadWork| load.is_none_or(|l| work.sent_at + REPORT_LAG >= l.at);
        let ours = self.unread.iter().filter(is_new);
        let ours: u64 = ours.map(|work| u64::from(work.memory_tokens)).sum();
        let waiting = load.map_or(0.0, |load| f64::from(load.waiting));
        ours + (waiting * pace.prompt_tokens()) as u64
    }

    /// Memory that stays for further prompts, in tokens, without the part that is
    /// left for answers to grow; `None` where no fresh report tells, and where
    /// nothing is taken: then even the largest prompt is in nobody's way.
    pub fn free_tokens(
        &self,
        now: Micros,
        pace: &EnginePace,
    ) -> Option<u64> {
        let load = self.fresh_load(now)?;
        let room = load.total_tokens * FILLED_PART / 100;
        let taken = load.used_tokens + self.coming_tokens(now, pace);
        (taken > 0).then(|| room.saturating_sub(taken))
    }

    /// Requests that it runs or holds, as far as is known.
    pub fn occupied(
        &self,
        now: Micros,
    ) -> u32 {
        let reported = self.fresh_load(now).map_or(0, |l| l.running + l.waiting);
        reported.max(self.running)
    }
}
