use {
    super::{AnswerCounts, AnswerOutcome, RolloutStage, VersionArm},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Maximum number of routes that are counted by name, so that a row of counts stays small. Further
/// routes are counted together.
const MAX_ROUTES: usize = 64;
/// Name under which further routes are counted.
const OTHER_ROUTES: &str = "";

/// Outcomes on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Outcomes at the endpoints that the roll-out replaces.
    pub baseline: AnswerCounts,
    /// Outcomes at the endpoints of the target version.
    pub target: AnswerCounts,
}

/// Outcomes of a service's requests during a roll-out, at one front or added up over all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Outcomes by route.
    pub routes: BTreeMap<String, RouteOutcomes>,
    /// Running requests at the replaced endpoints that cannot be repeated.
    pub unrepeatable_runs: u32,
}

impl OutcomeCounts {
    /// Counts an outcome.
    pub fn record(
        &mut self,
        route: &str,
        arm: VersionArm,
        outcome: AnswerOutcome,
        stage: RolloutStage,
    ) {
        let outcomes = self.route_mut(route);
        match arm {
            VersionArm::Baseline => outcomes.baseline.record(outcome, stage),
            VersionArm::Target => outcomes.target.record(outcome, stage),
        }
    }

    /// Adds the counts of another front.
    pub fn merge(
        &mut self,
        other: &OutcomeCounts,
    ) {
        for (route, counts) in &other.routes {
            let outcomes = self.route_mut(route);
            outcomes.baseline.merge(&counts.baseline);
            outcomes.target.merge(&counts.target);
        }
        self.unrepeatable_runs = self
            .unrepeatable_runs
            .saturating_add(other.unrepeatable_runs);
    }

    /// Outcomes on all routes together.
    pub fn sum(&self) -> RouteOutcomes {
        let mut sum = RouteOutcomes::default();
        for outcomes in self.routes.values() {
            sum.baseline.merge(&outcomes.baseline);
            sum.target.merge(&outcomes.target);
        }
        sum
    }

    fn route_mut(
        &mut self,
        route: &str,
    ) -> &mut RouteOutcomes {
        let is_counted = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let name = if is_counted { route } else { OTHER_ROUTES };
        self.routes.entry(name.to_string()).or_default()
    }
}
