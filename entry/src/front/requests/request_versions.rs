use {
    crate::front::{AttemptOutcome, ExchangeFailure, FrontState, RequestHandler},
    pitchhitch_core::{
        rollout::{
            comparison_endpoints, AnswerOutcome, RolloutRequest, VersionArm, VersionFilter,
            VersionPreference,
        },
        serving::{mix_bits, unit_fraction, EndpointChoice, EndpointEntry, EndpointStatus},
        time::Micros,
    },
};

/// Age of the stored record of a roll-out, in percent of the rollback limit, beyond which a front
/// treats the roll-out as if it had been rolled back.
const MAX_RECORD_AGE_PERCENT: u64 = 50;

/// Endpoints that a request may go to, by the version of their software.
#[derive(Debug, Default)]
pub(crate) struct VersionScope {
    filter: VersionFilter,
    /// Ids of the endpoints on which versions are compared, if the request is for comparison.
    comparison: Option<Vec<String>>,
}

impl VersionScope {
    /// Whether the request may go to an endpoint.
    pub fn admits(
        &self,
        entry: &EndpointEntry,
    ) -> bool {
        let is_compared = |ids: &Vec<String>| ids.contains(&entry.id);
        self.filter.admits(&entry.software) && self.comparison.as_ref().is_none_or(is_compared)
    }
}

impl RequestHandler<'_> {
    /// Endpoints that the request may go to by the version of their software, in the order in
    /// which they are tried, and whether the first scope is for comparison; `None` if the version
    /// does not matter.
    pub(crate) fn version_scopes(
        &self,
        state: &FrontState,
        now: Micros,
    ) -> Option<(Vec<VersionScope>, bool)> {
        let settings = &self.front.settings;
        let request = RolloutRequest {
            // Independent of the number that selects the service of the route.
            draw: unit_fraction(mix_bits(self.id_hash)),
            may_compare: self.sends == 0
                && self.tried.is_empty()
                && self.trial.is_none()
                && !self.declines_comparison,
            is_repeatable: self.route().retry.allows_rerun(),
        };
        let max_age = Micros(settings.rollback_limit.0 * MAX_RECORD_AGE_PERCENT / 100);
        let preference = state.rollouts.preference(
            &self.service,
            request,
            settings.rollout_share,
            max_age,
            now,
        )?;
        let VersionPreference {
            preferred,
            fallback,
            is_comparison,
        } = preference;
        let comparison = is_comparison.then(|| self.comparison_ids(state, &preferred));
        let first = VersionScope {
            filter: preferred,
            comparison,
        };
        let second = fallback.map(|filter| VersionScope {
            filter,
            comparison: None,
        });
        Some(([first].into_iter().chain(second).collect(), is_comparison))
    }

    /// Ids of the endpoints on which the target version is compared.
    fn comparison_ids(
        &self,
        state: &FrontState,
        target: &VersionFilter,
    ) -> Vec<String> {
        let entries = state.registry.iter().map(|(_, entry)| entry);
        let serving: Vec<&EndpointEntry> = entries
            .filter(|e| e.service == self.service && e.status == EndpointStatus::Serving)
            .collect();
        let targets = serving.iter().filter(|e| target.admits(&e.software));
        let target_ids: Vec<&str> = targets.map(|entry| entry.id.as_str()).collect();
        let baseline_count = serving.len() - target_ids.len();
        let share = self.front.settings.rollout_share;
        let ids = comparison_endpoints(target_ids.into_iter(), baseline_count, share);
        ids.into_iter().map(str::to_string).collect()
    }

    /// Counts a request that is about to be sent, if a roll-out compares the endpoint's version.
    /// Returns the group of the endpoint.
    pub(crate) fn begin_versioned_run(
        &self,
        state: &mut FrontState,
        choice: &EndpointChoice,
    ) -> Option<VersionArm> {
        if state.rollouts.is_idle() {
            return None;
        }
        let entry = state.registry.get(choice.key)?;
        let arm = state
            .rollouts
            .arm_of(&self.service, entry.known_software()?)?;
        let is_repeatable = self.route().retry.allows_rerun();
        let rollout = state.rollouts.get_mut(&self.service)?;
        rollout.meter.record(arm == VersionArm::Target);
        if arm == VersionArm::Baseline && !is_repeatable {
            rollout.counts.unrepeatable_runs += 1;
        }
        Some(arm)
    }

    /// Removes a request from the counts that was not sent after all.
    pub(crate) fn cancel_versioned_run(
        &self,
        state: &mut FrontState,
        arm: Option<VersionArm>,
    ) {
        let (Some(arm), Some(rollout)) = (arm, state.rollouts.get_mut(&self.service)) else {
            return;
        };
        rollout.meter.cancel(arm == VersionArm::Target);
        self.end_unrepeatable(state, arm);
    }

    /// Counts the outcome of a request at an endpoint of a compared version.
    pub(crate) fn end_versioned_run(
        &self,
        choice: &EndpointChoice,
        arm: Option<VersionArm>,
        sent_at: Micros,
        outcome: &AttemptOutcome,
    ) {
        let Some(arm) = arm else {
            return;
        };
        let answer = self.answer_outcome(choice, sent_at, outcome);
        let mut state = self.front.state();
        self.end_unrepeatable(&mut state, arm);
        let route = &self.route().name;
        let rollout = state.rollouts.get_mut(&self.service);
        if let (Some(answer), Some(rollout)) = (answer, rollout) {
            rollout.record_outcome(route, arm, answer, self.front.now());
        }
    }

    fn end_unrepeatable(
        &self,
        state: &mut FrontState,
        arm: VersionArm,
    ) {
        if arm != VersionArm::Baseline || self.route().retry.allows_rerun() {
            return;
        }
        if let Some(rollout) = state.rollouts.get_mut(&self.service) {
            // A newer order has reset the counts meanwhile.
            let runs = rollout.counts.unrepeatable_runs.saturating_sub(1);
            rollout.counts.unrepeatable_runs = runs;
        }
    }

    /// Outcome for the comparison; `None` if it says nothing about the endpoint.
    fn answer_outcome(
        &self,
        choice: &EndpointChoice,
        sent_at: Micros,
        outcome: &AttemptOutcome,
    ) -> Option<AnswerOutcome> {
        match outcome {
            AttemptOutcome::Delivered(_) => {
                Some(AnswerOutcome::Answered(self.latency(choice, sent_at)))
            }
            AttemptOutcome::Failed(_) => Some(AnswerOutcome::Failed),
            AttemptOutcome::Broken(failure) => match failure {
                ExchangeFailure::NotSent
                | ExchangeFailure::NotBegun
                | ExchangeFailure::CallerGone => None,
                ExchangeFailure::Lost
                | ExchangeFailure::Unresponsive
                | ExchangeFailure::Garbled
                | ExchangeFailure::Late
                | ExchangeFailure::Overdue => Some(AnswerOutcome::Failed),
            },
            AttemptOutcome::CallerGone | AttemptOutcome::NotRun | AttemptOutcome::Moved(_) => None,
        }
    }

    /// Latency of an answer: that of a prompt as a multiple of the expected one, as engines that
    /// have just started have cached nothing; in milliseconds otherwise.
    fn latency(
        &self,
        choice: &EndpointChoice,
        sent_at: Micros,
    ) -> f64 {
        let millis = |time: Micros| time.0 as f64 / 1e3;
        let started_at = self.latest_run.first_event_at;
        let (true, Some(started_at)) = (self.info.prompt.is_some(), started_at) else {
            return millis(self.front.now().since(sent_at));
        };
        let token_ms = self.estimator(&self.front.state()).token_ms();
        let expected_ms = choice.queue_ms
            + f64::from(choice.prefill_tokens) * token_ms * choice.rate
            + choice.plan.fetch_ms;
        millis(started_at.since(sent_at)) / expected_ms.max(1.0)
    }
}
