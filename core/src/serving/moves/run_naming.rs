use crate::{
    serving::{EngineLoad, MoveCause, NamedRun},
    time::Micros,
};

/// Maximum number of runs that one digest names. A front moves one run of an engine at a time.
pub const MAX_NAMED_RUNS: usize = 4;
/// Time from an engine's report until a run that it names has been moved: the age of the report, the
/// digest and the copy. An engine whose answers exceed its memory within this time would preempt.
/// Of the runs named from 92 % of the memory on, few would have been preempted, and more shared parts
/// were prefilled again.
const MOVE_LEAD_TIME: Micros = Micros::from_millis(800);

/// A run in an engine's report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportedRun {
    /// Id of the request.
    pub request_id: String,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Events that it has produced.
    pub events: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

/// What the agent knows about its engine.
#[derive(Debug, Clone, Copy)]
pub struct NamingInput<'a> {
    /// Runs in the latest report.
    pub runs: &'a [ReportedRun],
    /// Load in the latest report.
    pub load: &'a EngineLoad,
    /// Memory that the answers take up, in tokens per second.
    pub growth_per_s: u64,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// Whether an order to load other weights waits for the runs to end.
    pub is_swap_due: bool,
}

/// The runs to be moved, in the order in which the engine would preempt them: the least urgent
/// first, and the newest of these. The report has no start times, so the run with the fewest events
/// counts as the newest. A run without events has no stream yet that could be resumed. Callers choose
/// the ids: where two runs have the same one, neither is named, as a call could copy the memory of
/// another organisation.
pub fn name_runs(input: &NamingInput<'_>) -> Vec<NamedRun> {
    let load = input.load;
    let growth = input
        .growth_per_s
        .saturating_mul(MOVE_LEAD_TIME.as_millis())
        / 1_000;
    let excess = load
        .used_tokens
        .saturating_add(growth)
        .saturating_sub(load.total_tokens);
    let is_short = load.total_tokens > 0 && growth > 0 && excess > 0;
    let cause = match (input.is_leaving, input.is_swap_due, is_short) {
        _ if load.is_silent => return Vec::new(),
        (true, _, _) => MoveCause::Leaving,
        (false, true, _) => MoveCause::Swap,
        (false, false, true) => MoveCause::Memory,
        (false, false, false) => return Vec::new(),
    };
    let started = input.runs.iter().filter(|run| run.events > 0);
    let mut candidates: Vec<&ReportedRun> = started.collect();
    candidates.sort_by_key(|run| (std::cmp::Reverse(run.priority), run.events));
    let mut named = Vec::new();
    let mut freed: u64 = 0;
    let is_unique = |run: &&ReportedRun| {
        let mut others = input
            .runs
            .iter()
            .filter(|other| other.request_id == run.request_id);
        others.nth(1).is_none()
    };
    for run in candidates
        .into_iter()
        .filter(is_unique)
        .take(MAX_NAMED_RUNS)
    {
        if cause == MoveCause::Memory && freed >= excess {
            break;
        }
        freed = freed.saturating_add(run.tokens);
        named.push(NamedRun {
            request_id: run.request_id.clone(),
            cause,
            tokens: run.tokens,
            events: run.events,
        });
    }
    named
}
