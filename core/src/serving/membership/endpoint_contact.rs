use crate::time::Micros;

/// Timeout of a probe. It takes a connection and one response, which need no slot at the endpoint.
pub const CONTACT_PROBE_TIMEOUT: Micros = Micros::from_millis(200);

/// Silence of an engine, and of its agent, after which a probe is sent. Agents report every 250 ms at
/// least.
const QUIET_AFTER: Micros = Micros::from_millis(400);
/// Silence of an engine whose agent still reports: it may be unreachable for this box alone.
const REPORTED_QUIET_AFTER: Micros = Micros::from_secs(1);
/// Silence of an endpoint without an engine: nothing reports on it, and most requests are answered
/// sooner.
const PLAIN_QUIET_AFTER: Micros = Micros::from_millis(250);
/// Maximum number of doublings of these times for an endpoint that answers probes: it is busy.
const MAX_DOUBLINGS: u32 = 3;
/// Unanswered probes after which an engine does not respond although its agent reports that it does.
const REPORTED_PROBES: u32 = 2;
/// Minimum time between two probes.
const PROBE_INTERVAL: Micros = Micros::from_millis(300);
/// Time between two probes of a lost endpoint; it doubles with each one. What a box receives while it
/// is paused arrives at the endpoint when it resumes.
const LOST_PROBE_INTERVAL: Micros = Micros::from_secs(2);
/// Maximum number of doublings of the probe interval.
const MAX_INTERVAL_DOUBLINGS: u32 = 2;
/// Silence after which requests that cannot be sent elsewhere count as lost, too. Callers close
/// silent streams from then on.
pub const LOST_AFTER: Micros = Micros::from_secs(2);

/// Whether an endpoint that runs requests of this box still responds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContactStage {
    /// It has been heard recently, or has answered a probe.
    #[default]
    Responding,
    /// It has been silent and has not answered probes: requests that may be sent elsewhere are.
    Unresponsive,
    /// It has been silent for so long that all requests there count as lost.
    Lost,
}

impl ContactStage {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ContactStage::Responding => "responding",
            ContactStage::Unresponsive => "unresponsive",
            ContactStage::Lost => "lost",
        }
    }
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The endpoint responded, or its box refused the connection.
    Answered,
    /// There was no response in time.
    Unanswered,
    /// The probe ended late because this process was paused or busy.
    Inconclusive,
}

impl ProbeOutcome {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Unanswered => "unanswered",
            ProbeOutcome::Inconclusive => "inconclusive",
        }
    }
}

/// When an endpoint was last heard, and what probes of it found.
///
/// Only silence that this box has listened to counts: its own pauses are excluded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointContact {
    /// When the endpoint last sent something to this box.
    heard_at: Option<Micros>,
    /// When its agent last reported that it responds.
    reported_at: Option<Micros>,
    /// Age of a report from which later ones are missing.
    report_timeout: Micros,
    /// When the first of the requests was sent that it runs.
    busy_since: Option<Micros>,
    /// When the running probe was started.
    probe_started_at: Option<Micros>,
    /// When the last probe ended.
    probed_at: Option<Micros>,
    /// Probes answered since the endpoint was last heard otherwise.
    answered_probes: u32,
    /// Those of them that were answered since the agent last reported.
    unreported_answers: u32,
    /// Consecutive probes that were not answered.
    unanswered_probes: u32,
    stage: ContactStage,
    /// Whether its agent reported when it stopped responding.
    was_reported: bool,
}

impl EndpointContact {
    /// Whether the endpoint responds.
    pub fn stage(&self) -> ContactStage {
        self.stage
    }

    /// Records that the endpoint has sent something; returns the silence that this ends if it did not
    /// respond.
    pub fn record_heard(
        &mut self,
        now: Micros,
    ) -> Option<Micros> {
        let ended = self.end_silence(now);
        self.heard_at = Some(now);
        self.answered_probes = 0;
        self.unreported_answers = 0;
        ended
    }

    /// Records that the endpoint's agent reports that it responds, and will report again within
    /// `again_within`; returns the silence that this ends if the endpoint did not respond.
    pub fn record_report(
        &mut self,
        again_within: Micros,
        now: Micros,
    ) -> Option<Micros> {
        // An agent that has reported all along proves nothing about the way to its engine.
        let is_return = self.stage != ContactStage::Responding && !self.was_reported;
        let ended = match is_return {
            true => self.end_silence(now),
            false => None,
        };
        self.reported_at = Some(now);
        self.report_timeout = QUIET_AFTER.max(Micros(again_within.0 * 8 / 5));
        self.unreported_answers = 0;
        ended
    }

    /// Records that a request is sent; `is_first` is whether the endpoint runs no other.
    pub fn record_sent(
        &mut self,
        is_first: bool,
        now: Micros,
    ) {
        if is_first {
            self.busy_since = Some(now);
        }
    }

    /// Excludes a time for which this process did not listen.
    pub fn exclude(
        &mut self,
        gap: Micros,
        now: Micros,
    ) {
        for at in [
            &mut self.heard_at,
            &mut self.reported_at,
            &mut self.busy_since,
        ] {
            *at = at.map(|at| (at + gap).min(now));
        }
    }

    /// Whether a probe is due, which counts as started then. `has_engine` is whether the endpoint is
    /// an engine.
    pub fn take_due_probe(
        &mut self,
        has_engine: bool,
        now: Micros,
    ) -> bool {
        let is_due = self.probe_started_at.is_none()
            && self
                .probed_at
                .is_none_or(|at| now.since(at) >= self.probe_interval(now))
            && self.silence(now) >= self.quiet_after(has_engine, now);
        if is_due {
            self.probe_started_at = Some(now);
        }
        is_due
    }

    /// Records the outcome of the running probe. `hears_others` is whether other endpoints have been
    /// heard meanwhile; if not, this box may be disconnected itself. Returns the new stage if
    /// requests at the endpoint must be notified.
    pub fn record_probe(
        &mut self,
        outcome: ProbeOutcome,
        hears_others: bool,
        now: Micros,
    ) -> Option<ContactStage> {
        let started_at = self.probe_started_at.take()?;
        self.probed_at = Some(now);
        let is_heard = self.last_sign(now).is_some_and(|at| at > started_at);
        match outcome {
            ProbeOutcome::Answered => {
                let unreported = u32::from(!self.is_reported(now));
                let answers = self.answered_probes + 1;
                let unreported_answers = self.unreported_answers + unreported;
                self.record_heard(now);
                self.answered_probes = answers;
                self.unreported_answers = unreported_answers;
                None
            }
            ProbeOutcome::Unanswered if hears_others && !is_heard => self.record_unanswered(now),
            ProbeOutcome::Unanswered | ProbeOutcome::Inconclusive => None,
        }
    }

    /// Whether the endpoint, or its agent, has been heard since `time`.
    pub fn was_heard_since(
        &self,
        time: Micros,
    ) -> bool {
        self.heard_at.max(self.reported_at) >= Some(time)
    }

    /// Time since the endpoint gave a sign of life, or since it received its first request if that
    /// was later.
    pub fn silence(
        &self,
        now: Micros,
    ) -> Micros {
        let since = self.last_sign(now).max(self.busy_since);
        since.map_or(Micros::ZERO, |since| now.since(since))
    }

    fn record_unanswered(
        &mut self,
        now: Micros,
    ) -> Option<ContactStage> {
        self.unanswered_probes += 1;
        let is_reported = self.is_reported(now);
        if is_reported && self.unanswered_probes < REPORTED_PROBES {
            return None;
        }
        if self.stage == ContactStage::Responding {
            self.was_reported = is_reported;
        }
        self.stage = match self.silence(now) >= LOST_AFTER {
            true => ContactStage::Lost,
            false => ContactStage::Unresponsive,
        };
        Some(self.stage)
    }

    fn end_silence(
        &mut self,
        now: Micros,
    ) -> Option<Micros> {
        let silence = self.silence(now);
        let was_unresponsive = self.stage != ContactStage::Responding;
        self.unanswered_probes = 0;
        self.stage = ContactStage::Responding;
        self.was_reported = false;
        was_unresponsive.then_some(silence)
    }

    fn is_reported(
        &self,
        now: Micros,
    ) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < self.report_timeout)
    }

    /// Last sign of life. Reports are one only while they are missing: the way to an engine may be
    /// broken while its agent reports.
    fn last_sign(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        match self.was_reported || self.is_reported(now) {
            true => self.heard_at,
            false => self.heard_at.max(self.reported_at),
        }
    }

    fn quiet_after(
        &self,
        has_engine: bool,
        now: Micros,
    ) -> Micros {
        let (quiet_after, answers) = match has_engine {
            false => (PLAIN_QUIET_AFTER, self.answered_probes),
            true if self.is_reported(now) => (REPORTED_QUIET_AFTER, self.answered_probes),
            true => (QUIET_AFTER, self.unreported_answers),
        };
        Micros(quiet_after.0 << answers.min(MAX_DOUBLINGS))
    }

    fn probe_interval(
        &self,
        now: Micros,
    ) -> Micros {
        match self.stage {
            ContactStage::Responding => PROBE_INTERVAL,
            // The next probe ends when the silence makes the endpoint count as lost.
            ContactStage::Unresponsive => {
                let remaining = LOST_AFTER.since(self.silence(now));
                match remaining <= CONTACT_PROBE_TIMEOUT {
                    true => PROBE_INTERVAL,
                    false => LOST_AFTER,
                }
            }
            ContactStage::Lost => {
                let doublings = self.unanswered_probes.saturating_sub(REPORTED_PROBES);
                Micros(LOST_PROBE_INTERVAL.0 << doublings.min(MAX_INTERVAL_DOUBLINGS))
            }
        }
    }
}
