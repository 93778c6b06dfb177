use {
    super::{EndpointKey, RequestFingerprint},
    crate::time::Micros,
};

/// Suspects of one front that may be at an endpoint at once: of two that end it, which one
/// did is told by the next crash.
const MAX_TRIALS: usize = 2;
/// Time after its first event for which a run counts as one that may end its endpoint.
const PROBATION: Micros = Micros::from_millis(300);

/// A run of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TrialRun {
    ticket: u64,
    fingerprint: RequestFingerprint,
    endpoint: EndpointKey,
    /// Whether it may have no other suspect beside it.
    is_exclusive: bool,
    first_event_at: Option<Micros>,
}

/// Runs of suspects that may end their endpoints: they are kept apart, so that one that
/// does takes no other suspect along.
#[derive(Debug, Clone, Default)]
pub struct TrialTable {
    runs: Vec<TrialRun>,
}

impl TrialTable {
    /// Whether a run of the same request has not proven itself yet.
    pub fn has_active(
        &self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        self.active(now).any(|run| run.fingerprint == fingerprint)
    }

    /// Endpoints that have no room for one more suspect.
    pub fn full_endpoints(
        &self,
        is_exclusive: bool,
        now: Micros,
    ) -> Vec<EndpointKey> {
        let is_full = |run: &TrialRun| {
            let others = self
                .active(now)
                .filter(|other| other.endpoint == run.endpoint);
            is_exclusive || run.is_exclusive || others.count() >= MAX_TRIALS
        };
        let full = self.active(now).filter(|run| is_full(run));
        full.map(|run| run.endpoint).collect()
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

    /// Notes a run of a suspect.
    pub fn begin(
        &mut self,
        ticket: u64,
        fingerprint: RequestFingerprint,
        endpoint: EndpointKey,
        is_exclusive: bool,
    ) {
        self.runs.push(TrialRun {
            ticket,
            fingerprint,
            endpoint,
            is_exclusive,
            first_event_at: None,
        });
    }

    /// Notes that a run has made its first event.
    pub fn record_first_event(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        for run in self.runs.iter_mut().filter(|run| run.ticket == ticket) {
            run.first_event_at = Some(now);
        }
    }

    /// Notes that a run is over.
    pub fn end(
        &mut self,
        ticket: u64,
    ) {
        self.runs.retain(|run| run.ticket != ticket);
    }
}
