use {
    crate::serving::{EndpointKey, SuspectKey},
    crate::time::Micros,
};

/// Maximum number of suspects of one front on an endpoint. If the endpoint crashes with two of
/// them, the next crash shows which one is the cause.
const MAX_TRIALS: usize = 2;
/// Time after the first event of a run for which the run may still crash its endpoint.
const PROBATION: Micros = Micros::from_millis(300);

/// How far a run of suspects is kept apart from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialKind {
    /// Only from other runs of the same suspects: parts of its prompt during which one endpoint
    /// crashed. Most of the prompts that come next may have one.
    Single,
    /// One other suspect at most may run on the same endpoint: a request during which one crashed.
    Paired,
    /// No other suspect may run on the same endpoint.
    Exclusive,
}

/// A run of suspects: of a request, or of parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TrialRun {
    ticket: u64,
    suspects: Vec<SuspectKey>,
    endpoint: EndpointKey,
    kind: TrialKind,
    first_event_at: Option<Micros>,
}

/// Runs of suspects that may crash their endpoints. They are spread across endpoints, at most two
/// on each, so that a crash is not attributed to the wrong suspect.
#[derive(Debug, Clone, Default)]
pub struct TrialTable {
    runs: Vec<TrialRun>,
}

impl TrialTable {
    /// Whether a run with one of these suspects may still crash its endpoint.
    pub fn has_active(
        &self,
        suspects: &[SuspectKey],
        now: Micros,
    ) -> bool {
        let is_among = |key: &SuspectKey| suspects.contains(key);
        self.active(now)
            .any(|run| run.suspects.iter().any(is_among))
    }

    /// Endpoints that cannot accept one more suspect.
    pub fn full_endpoints(
        &self,
        kind: TrialKind,
        now: Micros,
    ) -> Vec<EndpointKey> {
        let active = || self.active(now).filter(|run| run.kind != TrialKind::Single);
        let is_full = |run: &&TrialRun| {
            let runs = active().filter(|other| other.endpoint == run.endpoint);
            let is_exclusive = [kind, run.kind].contains(&TrialKind::Exclusive);
            is_exclusive || runs.count() >= MAX_TRIALS
        };
        active().filter(is_full).map(|run| run.endpoint).collect()
    }

    fn active(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = &TrialRun> {
        let is_active = move |run: &&TrialRun| {
            run.first_event_at
                .is_none_or(|at| now.since(at) < PROBATION)
        };
        self.runs.iter().filter(is_active)
    }

    /// Records a run of suspects.
    pub fn begin(
        &mut self,
        ticket: u64,
        suspects: Vec<SuspectKey>,
        endpoint: EndpointKey,
        kind: TrialKind,
    ) {
        self.runs.push(TrialRun {
            ticket,
            suspects,
            endpoint,
            kind,
            first_event_at: None,
        });
    }

    /// Records the first event of a run.
    pub fn record_first_event(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        for run in self.runs.iter_mut().filter(|run| run.ticket == ticket) {
            run.first_event_at = Some(now);
        }
    }

    /// Records that a run has ended.
    pub fn end(
        &mut self,
        ticket: u64,
    ) {
        self.runs.retain(|run| run.ticket != ticket);
    }
}
