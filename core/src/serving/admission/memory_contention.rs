//! Rules of the [`AdmissionController`] that apply only while memory is short.

use {
    super::{
        AdmissionController, AdmissionDecision, AdmissionInputs, AdmissionRequest, MemoryShare,
        OrganisationRate, SHORTAGE_THRESHOLD,
    },
    crate::{
        serving::{EndpointChoice, LatencyEstimator, ServingMechanism},
        time::Micros,
    },
    std::net::SocketAddr,
};

/// Time over which an organisation above its share waits until its rate has fallen to it, in
/// milliseconds; half of the window of the counts.
const SHARE_WAIT_MS: f64 = 2_000.0;

impl AdmissionController {
    /// Inputs of the rules for urgency and fair shares at the latest decision.
    pub fn inputs(&self) -> AdmissionInputs {
        self.inputs
    }

    /// Whether large prompts are refused for lack of memory.
    pub fn is_memory_short(&self) -> bool {
        self.memory_shortage > SHORTAGE_THRESHOLD
    }

    /// This front's rates by organisation for other fronts; none while memory is not short.
    pub fn own_rates(
        &self,
        now: Micros,
    ) -> Vec<OrganisationRate> {
        match self.applies_shares() {
            true => self.organisations.own_rates(now),
            false => Vec::new(),
        }
    }

    /// Records sums of fronts' rates that an agent sent at `sent_at` or later; false if they are too
    /// old to be used.
    pub fn record_rates(
        &mut self,
        agent: SocketAddr,
        rates: Vec<OrganisationRate>,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        self.organisations.record_report(agent, rates, sent_at, now)
    }

    /// Records what arrived, and determines the inputs of this decision.
    pub(super) fn record_demand(
        &mut self,
        request: &AdmissionRequest<'_>,
        estimator: &LatencyEstimator,
        choice: &EndpointChoice,
    ) {
        let tokens = self.mean_tokens(request);
        let hold_ms = estimator.hold_ms();
        self.urgent_demand
            .record(request, choice.pool, tokens, hold_ms);
        self.share = self.current_share(request);
        self.inputs = AdmissionInputs {
            urgent_tokens: self.urgent_tokens(request, choice),
            share: self.share.map_or(f64::INFINITY, |share| share.limit),
            used: self.share.map_or(0.0, |share| share.used),
            has_reports: self.share.is_some_and(|share| share.has_reports),
        };
    }

    /// Share of the prompt's organisation; `None` while no shares apply.
    fn current_share(
        &mut self,
        request: &AdmissionRequest<'_>,
    ) -> Option<MemoryShare> {
        match self.applies_shares() {
            true => self.organisations.share_of(&request.scope),
            false => None,
        }
    }

    fn applies_shares(&self) -> bool {
        self.is_memory_short() && !self.disabled.contains(ServingMechanism::FairShares)
    }

    /// Memory that the prompt must leave to more urgent ones, in tokens.
    pub(super) fn urgent_tokens(
        &self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
    ) -> f64 {
        if !self.is_memory_short() || self.disabled.contains(ServingMechanism::UrgentReserve) {
            return 0.0;
        }
        self.urgent_demand
            .reserved_tokens(request, choice, &self.priorities)
    }

    /// Whether a prompt for which there is memory is refused because it would take what more urgent
    /// ones need. Records the answer.
    pub(super) fn refuses_for_urgent(
        &mut self,
        request: &AdmissionRequest<'_>,
        choice: &EndpointChoice,
        lacks_memory: bool,
    ) -> bool {
        if lacks_memory || !self.is_memory_short() {
            return false;
        }
        let reserved = self.inputs.urgent_tokens;
        let needed = self.needed_tokens(request, choice) + reserved;
        let free = self.free_tokens(choice);
        let is_refused = reserved > 0.0 && free.is_some_and(|free| needed > free as f64);
        self.urgent_demand
            .record_decision(request.priority, is_refused);
        is_refused
    }

    /// Whether the organisation has taken more than its fair share of the memory.
    pub(super) fn is_over_share(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> bool {
        let tokens = self.mean_tokens(request);
        self.share.is_some_and(|share| share.is_over(tokens))
    }

    /// Whether the organisation has taken so little that no reserve is withheld from it.
    pub(super) fn is_below_share(&self) -> bool {
        self.share.is_some_and(|share| share.is_below())
    }

    /// Records what an organisation got or was denied. A returning caller was counted when it was
    /// refused before, so that repeats do not raise the organisation's demand.
    pub(super) fn record_share(
        &mut self,
        request: &AdmissionRequest<'_>,
        decision: AdmissionDecision,
    ) {
        let is_admitted = decision == AdmissionDecision::Admitted;
        if is_admitted || !self.is_retry(request) {
            let tokens = self.mean_tokens(request);
            self.organisations
                .record(&request.scope, tokens, is_admitted);
        }
    }

    /// Time until an organisation that is above its share has fallen to it, in milliseconds; 0 for
    /// others.
    pub(super) fn share_wait_ms(&self) -> f64 {
        let share = self.share.filter(|share| share.used > share.limit);
        share.map_or(0.0, |share| {
            SHARE_WAIT_MS * (1.0 - share.limit / share.used)
        })
    }
}
