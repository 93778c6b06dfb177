use {
    super::{
        AdmissionCounts, AdmissionScope, MemoryShare, OrganisationRate, RateReports, ShareTable,
        MAX_RATES,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Interval between computations of the shares: computing them for each prompt would cost a small
/// front a noticeable part of its processor time.
const UPDATE_INTERVAL: Micros = Micros::from_millis(250);

/// Fair shares of memory between organisations, from this front's counts and those that other
/// fronts report.
#[derive(Debug, Clone, Default)]
pub struct OrganisationShares {
    counts: AdmissionCounts,
    reports: RateReports<SocketAddr>,
    table: ShareTable,
    updated_at: Option<Micros>,
}

impl OrganisationShares {
    /// Records a prompt of an organisation.
    pub fn record(
        &mut self,
        scope: &AdmissionScope,
        tokens: f64,
        is_admitted: bool,
    ) {
        if let Some(organisation) = scope.organisation {
            self.counts
                .record(organisation, tokens, is_admitted, scope.now);
        }
    }

    /// Records sums of fronts' rates that an agent sent at `sent_at` or later; false if they are too
    /// old to be used.
    pub fn record_report(
        &mut self,
        agent: SocketAddr,
        rates: Vec<OrganisationRate>,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        self.reports.record(agent, rates, sent_at, now)
    }

    /// This front's rates for other fronts.
    pub fn own_rates(
        &self,
        now: Micros,
    ) -> Vec<OrganisationRate> {
        let mut rates = self.counts.rates(now);
        rates.truncate(MAX_RATES);
        rates
    }

    /// Share of the prompt's organisation; `None` if it has none.
    pub fn share_of(
        &mut self,
        scope: &AdmissionScope,
    ) -> Option<MemoryShare> {
        let organisation = scope.organisation?;
        let is_due = |at: Micros| scope.now.since(at) >= UPDATE_INTERVAL;
        if self.updated_at.is_none_or(is_due) {
            self.updated_at = Some(scope.now);
            self.table = self.compute_table(scope);
        }
        Some(self.table.share_of(organisation))
    }

    fn compute_table(
        &mut self,
        scope: &AdmissionScope,
    ) -> ShareTable {
        let own = self.counts.rates(scope.now);
        let reported = self.reports.highest(scope.now);
        let has_reports = !reported.is_empty();
        let rates = match has_reports {
            true => merge_rates(&own, &reported, scope.fronts),
            false => own,
        };
        ShareTable::of(rates, has_reports)
    }
}

/// Rates over all fronts. Organisations that no report lists are smaller than the listed ones; what
/// they take elsewhere is estimated from this front's part.
fn merge_rates(
    own: &[OrganisationRate],
    reported: &[OrganisationRate],
    fronts: u32,
) -> Vec<OrganisationRate> {
    let mut merged = reported.to_vec();
    // A report with free entries lists all organisations of its senders.
    let smallest = reported.last().filter(|_| reported.len() >= MAX_RATES);
    for rate in own {
        if let Some(known) = merged
            .iter_mut()
            .find(|known| known.organisation == rate.organisation)
        {
            known.admitted = known.admitted.max(rate.admitted);
            known.refused = known.refused.max(rate.refused);
            continue;
        }
        let scaled = |rate: u32, limit: u32| rate.saturating_mul(fronts).min(limit).max(rate);
        merged.push(match smallest {
            Some(smallest) => OrganisationRate {
                admitted: scaled(rate.admitted, smallest.admitted),
                refused: scaled(rate.refused, smallest.refused),
                ..*rate
            },
            None => *rate,
        });
    }
    merged
}
