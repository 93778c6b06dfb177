use {
    super::{fits, RateBucket, RoomUse},
    crate::{conf::OrganisationLimits, errors::ErrorKind, time::Micros},
    std::collections::BTreeMap,
};

/// Why a request was not admitted, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// [`ErrorKind::OverLimit`] or [`ErrorKind::Overloaded`].
    pub kind: ErrorKind,
    /// After what time a new try makes sense.
    pub retry_after: Micros,
}

#[derive(Debug, Clone)]
struct OrganisationUse {
    bucket: RateBucket,
    running: u32,
}

/// Admission of requests in one entry process.
#[derive(Debug, Clone)]
pub struct LimitTable {
    room: u32,
    running: u32,
    uses: BTreeMap<String, OrganisationUse>,
}

/// Time after which a caller should come back when the process is full.
const OVERLOAD_RETRY: Micros = Micros::from_secs(1);

impl LimitTable {
    /// A table for a process that runs at most `room` requests at once.
    pub fn new(room: u32) -> Self {
        LimitTable {
            room,
            running: 0,
            uses: BTreeMap::new(),
        }
    }

    /// Requests running in all.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Admits a request or says why not.
    ///
    /// `share` is this process's part of the organisation's limits, which hold
    /// for the whole deployment.
    ///
    /// # Errors
    /// [`LimitRefusal`] when the organisation or the process has no room.
    pub fn admit(
        &mut self,
        organisation: &str,
        limits: &OrganisationLimits,
        share: f64,
        now: Micros,
    ) -> Result<(), LimitRefusal> {
        let burst = (limits.burst * share).max(1.0);
        let active = self.uses.values().filter(|u| u.running > 0).count() as u32;
        let entry = self.uses.entry(organisation.to_string());
        let usage = entry.or_insert_with(|| OrganisationUse {
            bucket: RateBucket::full(burst, now),
            running: 0,
        });
        let concurrency = (f64::from(limits.concurrency) * share).ceil().max(1.0) as u32;
        if usage.running >= concurrency {
            return Err(LimitRefusal {
                kind: ErrorKind::OverLimit,
                retry_after: OVERLOAD_RETRY,
            });
        }
        let room = RoomUse {
            running: self.running,
            room: self.room,
            organisations: active + u32::from(usage.running == 0),
            own: usage.running,
        };
        if !fits(&room) {
            return Err(LimitRefusal {
                kind: ErrorKind::Overloaded,
                retry_after: OVERLOAD_RETRY,
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

    /// Notes that an admitted request ended.
    pub fn release(
        &mut self,
        organisation: &str,
    ) {
        if let Some(usage) = self.uses.get_mut(organisation) {
            usage.running = usage.running.saturating_sub(1);
            self.running = self.running.saturating_sub(1);
        }
    }
}
