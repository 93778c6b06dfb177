use {
    crate::{serving::StorePosition, time::Micros},
    serde::{Deserialize, Serialize},
};

/// Order of the operators to move a service to endpoints of another software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that is rolled out.
    pub target_version: String,
    /// Time within which the roll-out has to end.
    pub duration: Micros,
    /// Store position of the order; a later order of the same version is another roll-out.
    pub position: StorePosition,
}

impl RolloutOrder {
    /// Whether another read shows the same order. After a restore of the store from a snapshot,
    /// positions cannot be compared, so the content decides.
    pub fn is_same(
        &self,
        other: &RolloutOrder,
    ) -> bool {
        let has_same_position = self.position.era != other.position.era
            || self.position.version == other.position.version;
        self.target_version == other.target_version
            && self.duration == other.duration
            && has_same_position
    }
}
