use {
    super::{sort_by_demand, OrganisationRate},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Maximum number of entries in a report.
pub const MAX_RATES: usize = 16;
/// Time for which a report is used: one lost greeting of two fits in at the longest interval.
pub const RATE_REPORT_TTL: Micros = Micros::from_secs(4);
/// Maximum number of senders whose reports are kept: above the number of fronts that the design
/// supports.
const MAX_SENDERS: usize = 4_096;

/// Latest reports of organisations' rates, by sender: at an agent the fronts, at a front the agents.
#[derive(Debug, Clone)]
pub struct RateReports<K> {
    /// Send time and rates by sender.
    reports: BTreeMap<K, (Micros, Vec<OrganisationRate>)>,
}

impl<K> Default for RateReports<K> {
    fn default() -> Self {
        RateReports {
            reports: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord> RateReports<K> {
    /// Records a report that was sent at `sent_at` or later. An empty one, sent while memory is not
    /// short, replaces an earlier one. Returns false for a report that is not used because it is
    /// older than the known one or too old.
    pub fn record(
        &mut self,
        sender: K,
        mut rates: Vec<OrganisationRate>,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        let known = self.reports.get(&sender);
        if known.is_some_and(|(known_at, _)| *known_at > sent_at) {
            return false;
        }
        if now.since(sent_at) >= RATE_REPORT_TTL {
            return false;
        }
        if rates.is_empty() {
            self.reports.remove(&sender);
            return true;
        }
        if known.is_none() && self.reports.len() >= MAX_SENDERS {
            self.prune(now);
            if self.reports.len() >= MAX_SENDERS {
                return false;
            }
        }
        rates.truncate(MAX_RATES);
        self.reports.insert(sender, (sent_at, rates));
        true
    }

    /// Sums of the current reports by organisation, those with the highest demand first, at most
    /// [`MAX_RATES`]. Each sender has reported its own counts.
    pub fn sums(
        &mut self,
        now: Micros,
    ) -> Vec<OrganisationRate> {
        self.combine(now, u32::saturating_add)
    }

    /// Highest of the current reports by organisation, those with the highest demand first. Each
    /// sender has reported sums of the same counts, some of which it may have missed.
    pub fn highest(
        &mut self,
        now: Micros,
    ) -> Vec<OrganisationRate> {
        self.combine(now, u32::max)
    }

    /// Current reports, combined by organisation with `merge`.
    fn combine(
        &mut self,
        now: Micros,
        merge: impl Fn(u32, u32) -> u32,
    ) -> Vec<OrganisationRate> {
        self.prune(now);
        let mut combined: BTreeMap<u32, OrganisationRate> = BTreeMap::new();
        for rate in self.reports.values().flat_map(|(_, rates)| rates) {
            let entry = combined
                .entry(rate.organisation)
                .or_insert(OrganisationRate {
                    admitted: 0,
                    refused: 0,
                    ..*rate
                });
            entry.admitted = merge(entry.admitted, rate.admitted);
            entry.refused = merge(entry.refused, rate.refused);
        }
        let mut rates: Vec<OrganisationRate> = combined.into_values().collect();
        sort_by_demand(&mut rates);
        rates.truncate(MAX_RATES);
        rates
    }

    fn prune(
        &mut self,
        now: Micros,
    ) {
        self.reports
            .retain(|_, (sent_at, _)| now.since(*sent_at) < RATE_REPORT_TTL);
    }
}
