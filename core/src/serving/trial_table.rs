use {
    super::{EndpointKey, RequestFingerprint},
    crate::time::Micros,
};

/// Suspects of one front that may be at an endpoint at once: of two that end it, which one
/// did is told by the next crash.
const TRIALS_LIMIT: usize = 2;
/// Time after its first event for which a run counts as one that may end its endpoint.
const PROVES_SOUND: Micros = Micros::from_millis(300);

/// A run of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TrialRun {
    ticket: u64,
    fingerprint: RequestFingerprint,
    endpoint: EndpointKey,
    /// Whether it may have no other suspect beside it.
    is_alone: bool,
    began_at: Option<Micros>,
}

/// Runs of suspects that may end their endpoints: they are kept apart, so that one that
/// does takes no other suspect along.
#[derive(Debug, Clone, Default)]
pub struct TrialTable {
    runs: Vec<TrialRun>,
}

impl TrialTable {
    /// Whether a run of the same request has not proven itself yet.
    pub fn has(
        &self,
        fingerprint: RequestFingerprint,
        now: Micros,
    ) -> bool {
        self.open(now).any(|run| run.fingerprint == fingerprint)
    }

    /// Endpoints that have no room for one more suspect.
    pub fn barred(
        &self,
        is_alone: bool,
        now: Micros,
    ) -> Vec<EndpointKey> {
        let is_full = |run: &TrialRun| {
            let others = self
                .open(now)
                .filter(|other| other.endpoint == run.endpoint);
            is_alone || run.is_alone || others.count() >= TRIALS_LIMIT
        };
        let full = self.open(now).filter(|run| is_full(run));
        full.map(|run| run.endpoint).collect()
    }

    fn open(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = &TrialRun> {
        let is_open =
            move |run: &&TrialRun| run.began_at.is_none_or(|at| now.since(at) < PROVES_SOUND);
        self.runs.iter().filter(is_open)
    }

    /// Notes a run of a suspect.
    pub fn begin(
        &mut self,
        ticket: u64,
        fingerprint: RequestFingerprint,
        endpoint: EndpointKey,
        is_alone: bool,
    ) {
        self.runs.push(TrialRun {
            ticket,
            fingerprint,
            endpoint,
            is_alone,
            began_at: None,
        });
    }

    /// Notes that a run has made its first event.
    pub fn begun(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        for run in self.runs.iter_mut().filter(|run| run.ticket == ticket) {
            run.began_at = Some(now);
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
