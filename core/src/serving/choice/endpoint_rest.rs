use crate::time::Micros;

/// Time without a response after which another request may find out whether the endpoint still
/// refuses.
const PROBE_TIMEOUT: Micros = Micros::from_secs(1);

/// Consecutive refusals after which the box backs off from an endpoint that asks for no rest.
const REFUSALS_TO_BACK_OFF: u32 = 3;
/// Duration of the first back-off; it doubles with each further refusal.
const BASE_BACK_OFF: Micros = Micros::from_millis(100);
/// Maximum duration of a back-off.
const MAX_BACK_OFF: Micros = Micros::from_secs(1);

/// Time for which one box sends nothing to an endpoint that refuses requests, because the endpoint
/// has asked for it or has refused several in a row.
///
/// After that time one request is sent, and further ones once the endpoint has responded to it
/// without a refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointRest {
    /// End of the time, unless the endpoint has served since.
    until: Option<Micros>,
    /// When the request was sent that finds out whether it still refuses.
    probe_sent_at: Option<Micros>,
    /// Refusals since it last served, counting one of those that were under way together.
    refusals: u32,
    /// When the last counted refusal arrived.
    refused_at: Option<Micros>,
}

impl EndpointRest {
    /// Records that the endpoint refused a request and asked for `duration` without further ones;
    /// true if it was not resting.
    pub fn begin(
        &mut self,
        duration: Micros,
        now: Micros,
    ) -> bool {
        let was_resting = self.is_resting(now);
        self.until = self.until.max(Some(now + duration));
        self.probe_sent_at = None;
        !was_resting
    }

    /// Records a refusal of a request that was sent at `sent_at`, without a time that the endpoint
    /// asks for; returns the back-off if that begins one.
    pub fn record_refused(
        &mut self,
        sent_at: Micros,
        now: Micros,
    ) -> Option<Micros> {
        if self.refused_at.is_some_and(|at| sent_at < at) || self.is_resting(now) {
            return None;
        }
        self.refusals += 1;
        self.refused_at = Some(now);
        let doublings = self.refusals.checked_sub(REFUSALS_TO_BACK_OFF)?;
        let back_off = Micros(BASE_BACK_OFF.0 << doublings.min(10)).min(MAX_BACK_OFF);
        self.begin(back_off, now);
        Some(back_off)
    }

    /// Records a response without a refusal to a request that was sent at `sent_at`. Requests sent
    /// before the rest prove nothing.
    pub fn record_served(
        &mut self,
        sent_at: Micros,
    ) {
        if self.until.is_none_or(|until| sent_at >= until) {
            *self = EndpointRest::default();
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(
        &mut self,
        now: Micros,
    ) {
        if self.until.is_some() {
            self.probe_sent_at = Some(now);
        }
    }

    /// Records that a request assigned to the endpoint was not sent.
    pub fn record_unsent(&mut self) {
        self.probe_sent_at = None;
    }

    /// Whether the endpoint still wants no requests.
    pub fn is_resting(
        &self,
        now: Micros,
    ) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time since the rest has ended, while the endpoint has not proven that it serves again.
    pub fn unproven_for(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        let until = self.until.filter(|until| now >= *until);
        until.map(|until| now.since(until))
    }

    /// Time until a request may be sent.
    pub fn admits_after(
        &self,
        now: Micros,
    ) -> Micros {
        let rest = self.until.map_or(Micros::ZERO, |until| until.since(now));
        let probe = self
            .probe_sent_at
            .map_or(Micros::ZERO, |sent_at| (sent_at + PROBE_TIMEOUT).since(now));
        rest.max(probe)
    }

    /// Whether a request may be sent now.
    pub fn admits(
        &self,
        now: Micros,
    ) -> bool {
        self.admits_after(now) == Micros::ZERO
    }
}
