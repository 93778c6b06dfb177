use {
    super::RolloutOrder,
    serde::{Deserialize, Serialize},
};

/// Maximum number of rejected versions that are remembered.
const MAX_REJECTED: usize = 16;

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The target version is compared with the baseline.
    Running,
    /// All requests go to the target version; the other endpoints may stop at any moment.
    Done,
    /// No request goes to the target version.
    RolledBack,
}

impl RolloutState {
    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        self != RolloutState::Running
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutState::Running => "running",
            RolloutState::Done => "done",
            RolloutState::RolledBack => "rolled-back",
        }
    }
}

/// Roll-out of one service as stored in the platform store, replaced by compare-and-set only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order that it carries out.
    pub order: RolloutOrder,
    /// State.
    pub state: RolloutState,
    /// Why the state was reached, for logs.
    pub reason: String,
    /// Time of the start on the store's monotonic clock, in milliseconds.
    pub started_ms: u64,
    /// Time of the end on the same clock, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Versions that must not receive requests: rolled back, or replaced by another order before
    /// they were proven.
    pub rejected: Vec<String>,
}

impl RolloutRecord {
    /// Record of a roll-out that starts now and follows `previous`.
    pub fn begin(
        order: &RolloutOrder,
        previous: Option<&RolloutRecord>,
        store_ms: u64,
    ) -> Self {
        let mut rejected = previous.map_or_else(Vec::new, |record| record.rejected.clone());
        if let Some(unproven) = previous.filter(|record| record.state == RolloutState::Running) {
            rejected.push(unproven.order.target_version.clone());
        }
        rejected.retain(|version| *version != order.target_version);
        let surplus = rejected.len().saturating_sub(MAX_REJECTED);
        rejected.drain(..surplus);
        RolloutRecord {
            order: order.clone(),
            state: RolloutState::Running,
            reason: "ordered".to_string(),
            started_ms: store_ms,
            ended_ms: None,
            rejected,
        }
    }

    /// The record after the roll-out has reached a final state.
    pub fn end(
        &self,
        state: RolloutState,
        reason: &str,
        store_ms: u64,
    ) -> Self {
        let mut ended = RolloutRecord {
            state,
            reason: reason.to_string(),
            ended_ms: Some(store_ms),
            ..self.clone()
        };
        if state == RolloutState::RolledBack {
            ended.rejected.push(self.order.target_version.clone());
        }
        ended
    }

    /// Whether requests must not be sent to a version.
    pub fn is_rejected(
        &self,
        version: &str,
    ) -> bool {
        self.rejected.iter().any(|rejected| rejected == version)
    }
}
