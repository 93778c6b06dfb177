use {
    super::{MemoryShare, OrganisationRate},
    crate::limit::max_min_level,
    std::collections::HashMap,
};

/// Fraction of the mean ratio of admitted to offered memory that every organisation keeps, however
/// much it asks for. The required bound is a half.
const MIN_SERVED_FRACTION: f64 = 0.7;
/// Bound of that minimum, in fair shares: demand that consists of immediate repeats would otherwise
/// take what others need.
const MAX_MINIMUM_SHARES: f64 = 3.0;

/// Fair shares of memory at one moment.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareTable {
    /// By hash of the organisation's name.
    rates: HashMap<u32, OrganisationRate>,
    /// Max-min fair share: what an organisation may take, in tokens per second.
    level: f64,
    /// Admitted memory as a fraction of the offered, over all organisations.
    mean_served: f64,
    has_reports: bool,
}

impl ShareTable {
    /// Shares of organisations with these rates.
    pub(super) fn of(
        rates: Vec<OrganisationRate>,
        has_reports: bool,
    ) -> Self {
        let capacity: f64 = rates.iter().map(|rate| f64::from(rate.admitted)).sum();
        let mut demands: Vec<f64> = rates.iter().map(OrganisationRate::offered).collect();
        let offered: f64 = demands.iter().sum();
        let level = match demands.len() {
            0 | 1 => f64::INFINITY,
            _ => max_min_level(capacity, &mut demands),
        };
        let rates = rates.into_iter().map(|rate| (rate.organisation, rate));
        ShareTable {
            rates: rates.collect(),
            level,
            mean_served: capacity / offered.max(1.0),
            has_reports,
        }
    }

    /// Share of an organisation.
    pub(super) fn share_of(
        &self,
        organisation: u32,
    ) -> MemoryShare {
        let rate = self.rates.get(&organisation);
        let offered = rate.map_or(0.0, OrganisationRate::offered);
        let used = rate.map_or(0.0, |rate| f64::from(rate.admitted));
        let served = used / offered.max(1.0);
        let minimum = offered * self.mean_served * MIN_SERVED_FRACTION;
        MemoryShare {
            limit: self.level.max(minimum.min(self.level * MAX_MINIMUM_SHARES)),
            used,
            served_ratio: served / self.mean_served.max(f64::MIN_POSITIVE),
            has_reports: self.has_reports,
        }
    }
}
