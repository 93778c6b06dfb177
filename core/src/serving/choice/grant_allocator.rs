use {
    crate::serving::{SendGrant, GRANT_RECLAIM_DELAY},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Percentage of the limit that is divided among the known boxes. The rest is reserved for a box
/// that joins.
const SHARED_PERCENT: u32 = 90;

/// A grant that may still be in use.
#[derive(Debug, Clone, Copy)]
struct ActiveGrant {
    per_second: u32,
    sent_at: Micros,
}

/// Divides the rate limit of one endpoint in slow start among boxes that do not coordinate. The
/// grants that may be in use never add up to more than the limit, even if some were lost, delayed
/// or are out of date.
#[derive(Debug, Clone)]
pub struct GrantAllocator<B> {
    limit: u32,
    /// When this allocator started; grants of its predecessor may be in use for a while.
    started_at: Option<Micros>,
    active: BTreeMap<B, Vec<ActiveGrant>>,
}

impl<B> Default for GrantAllocator<B> {
    fn default() -> Self {
        GrantAllocator {
            limit: 0,
            started_at: None,
            active: BTreeMap::new(),
        }
    }
}

impl<B: Ord + Copy> GrantAllocator<B> {
    /// Sets the limit, in requests per second.
    pub fn set_limit(
        &mut self,
        limit: u32,
    ) {
        self.limit = limit;
    }

    /// Grants box `to` its share, given the number of known boxes.
    pub fn grant(
        &mut self,
        to: B,
        boxes: usize,
        now: Micros,
    ) -> SendGrant {
        let started_at = *self.started_at.get_or_insert(now);
        if now.since(started_at) <= GRANT_RECLAIM_DELAY {
            return SendGrant::default();
        }
        self.prune(now);
        let granted: u32 = self
            .active
            .iter()
            .filter(|(other, _)| **other != to)
            .map(|(_, grants)| largest(grants))
            .sum();
        let boxes = u32::try_from(boxes.max(1)).unwrap_or(u32::MAX);
        let share = (self.limit * SHARED_PERCENT / 100 / boxes).max(1);
        let per_second = share.min(self.limit.saturating_sub(granted));
        self.active.entry(to).or_default().push(ActiveGrant {
            per_second,
            sent_at: now,
        });
        SendGrant { per_second }
    }

    /// Removes expired grants, and grants that a later one at least as large supersedes.
    fn prune(
        &mut self,
        now: Micros,
    ) {
        self.active.retain(|_, grants| {
            grants.retain(|grant| now.since(grant.sent_at) <= GRANT_RECLAIM_DELAY);
            let mut largest_later = 0;
            let mut index = grants.len();
            while index > 0 {
                index -= 1;
                if grants[index].per_second <= largest_later {
                    grants.remove(index);
                } else {
                    largest_later = grants[index].per_second;
                }
            }
            !grants.is_empty()
        });
    }
}

fn largest(grants: &[ActiveGrant]) -> u32 {
    let sizes = grants.iter().map(|grant| grant.per_second);
    sizes.max().unwrap_or(0)
}
