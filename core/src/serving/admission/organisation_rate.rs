use {
    crate::serving::stable_hash,
    serde::{Deserialize, Serialize},
};

/// Memory that an organisation was given and denied, as fronts inform each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRate {
    /// Hash of the organisation's name.
    pub organisation: u32,
    /// Memory of admitted prompts, in tokens per second.
    pub admitted: u32,
    /// Memory of refused prompts, in tokens per second. Without it, an organisation that needs
    /// little and one that gets little would look the same.
    pub refused: u32,
}

impl OrganisationRate {
    /// Memory that the organisation asked for, in tokens per second.
    pub fn offered(&self) -> f64 {
        f64::from(self.admitted) + f64::from(self.refused)
    }
}

/// Hash of an organisation's name: of 440 names, two collide in one of 40,000 sets.
pub fn organisation_hash(name: &str) -> u32 {
    stable_hash(name) as u32
}

/// Sorts rates by descending demand, in the same order on all boxes.
pub fn sort_by_demand(rates: &mut [OrganisationRate]) {
    rates.sort_by(|a, b| {
        let by_demand = b.offered().total_cmp(&a.offered());
        by_demand.then(a.organisation.cmp(&b.organisation))
    });
}
