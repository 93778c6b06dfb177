use {
    super::{has_capacity, CapacityUsage, RateBucket},
    crate::{conf::OrganisationLimits, errors::ErrorKind, time::Micros},
    std::collections::BTreeMap,
};

/// Why a request was not admitted, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// [`ErrorKind::OverLimit`] or [`ErrorKind::Overloaded`].
    pub kind: ErrorKind,
    /// Delay after which a retry may succeed.
    pub retry_after: Micros,
}

#[derive(Debug, Clone)]
struct OrganisationUsage {
    bucket: RateBucket,
    running: u32,
}

/// Admission control of one entry process, by organisation.
#[derive(Debug, Clone)]
pub struct LimitTable {
    capacity: u32,
    running: u32,
    usages: BTreeMap<String, OrganisationUsage>,
}

/// Retry delay for callers when a concurrency limit is reached.
const OVERLOAD_RETRY_AFTER: Micros = Micros::from_secs(1);

impl LimitTable {
    /// Creates a table for a process that runs at most `capacity` concurrent requests.
    pub fn new(capacity: u32) -> Self {
        LimitTable {
            capacity,
            running: 0,
            usages: BTreeMap::new(),
        }
    }

    /// Requests running in total.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Admits a request or refuses it.
    ///
    /// `share` is the fraction of the organisation's limits that applies to this process;
    /// the limits themselves apply to the whole deployment.
    ///
    /// # Errors
    /// [`LimitRefusal`] if the organisation exceeds its limits or the process is at capacity.
    pub fn admit(
        &mut self,
        organisation: &str,
        limits: &OrganisationLimits,
        share: f64,
        now: Micros,
    ) -> Result<(), LimitRefusal> {
        let burst = (limits.burst * share).max(1.0);
        let active_organisations = self.usages.values().filter(|u| u.running > 0).count() as u32;
        let entry = self.usages.entry(organisation.to_string());
        let usage = entry.or_insert_with(|| OrganisationUsage {
            bucket: RateBucket::full(burst, now),
            running: 0,
        });
        let concurrency = (f64::from(limits.concurrency) * share).ceil().max(1.0) as u32;
        if usage.running >= concurrency {
            return Err(LimitRefusal {
                kind: ErrorKind::OverLimit,
                retry_after: OVERLOAD_RETRY_AFTER,
            });
        }
        let capacity_usage = CapacityUsage {
            running: self.running,
            capacity: self.capacity,
            organisations: active_organisations + u32::from(usage.running == 0),
            own_running: usage.running,
        };
        if !has_capacity(&capacity_usage) {
            return Err(LimitRefusal {
                kind: ErrorKind::Overloaded,
                retry_after: OVERLOAD_RETRY_AFTER,
            });
        }
        let taken = usage
            .bucket
            .take(limits.requests_per_second * share, burst, now);
        taken.map_err(|retry_after| LimitRefusal {
            kind: ErrorKind::OverLimit,
            retry_after,
        })?;
        usage.running += 1;
        self.running += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn release(
        &mut self,
        organisation: &str,
    ) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.running = usage.running.saturating_sub(1);
            self.running = self.running.saturating_sub(1);
        }
    }
}
