use {
    super::{SendGrant, GRANT_RECLAIM_DELAY},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Part of the limit that is shared out among the boxes that are known, in hundredths; the rest
/// is there for one that comes.
const SHARED_PERCENT: u32 = 90;

/// A grant that may still be used.
#[derive(Debug, Clone, Copy)]
struct OpenGrant {
    per_second: u32,
    sent_at: Micros,
}

/// Shares the limit of one endpoint that starts slowly out among boxes, without their agreement:
/// the sum of all grants that may still be used is never above the limit, whichever of them were
/// lost, came late or are out of date.
#[derive(Debug, Clone)]
pub struct GrantAllocator<B> {
    limit: u32,
    /// When this book began: grants of the one before may be used for a while.
    started_at: Option<Micros>,
    open: BTreeMap<B, Vec<OpenGrant>>,
}

impl<B> Default for GrantAllocator<B> {
    fn default() -> Self {
        GrantAllocator {
            limit: 0,
            started_at: None,
            open: BTreeMap::new(),
        }
    }
}

impl<B: Ord + Copy> GrantAllocator<B> {
    /// Sets the limit, in requests a second.
    pub fn set_limit(
        &mut self,
        limit: u32,
    ) {
        self.limit = limit;
    }

    /// The grant of a box that is told now, one of so many that are known.
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
            .open
            .iter()
            .filter(|(other, _)| **other != to)
            .map(|(_, grants)| largest(grants))
            .sum();
        let boxes = u32::try_from(boxes.max(1)).unwrap_or(u32::MAX);
        let share = (self.limit * SHARED_PERCENT / 100 / boxes).max(1);
        let per_second = share.min(self.limit.saturating_sub(granted));
        self.open.entry(to).or_default().push(OpenGrant {
            per_second,
            sent_at: now,
        });
        SendGrant { per_second }
    }

    /// Forgets grants that are over, and those behind which a larger one was sent.
    fn prune(
        &mut self,
        now: Micros,
    ) {
        self.open.retain(|_, grants| {
            grants.retain(|grant| now.since(grant.sent_at) <= GRANT_RECLAIM_DELAY);
            let mut later = 0;
            let mut index = grants.len();
            while index > 0 {
                index -= 1;
                if grants[index].per_second <= later {
                    grants.remove(index);
                } else {
                    later = grants[index].per_second;
                }
            }
            !grants.is_empty()
        });
    }
}

fn largest(grants: &[OpenGrant]) -> u32 {
    let sizes = grants.iter().map(|grant| grant.per_second);
    sizes.max().unwrap_or(0)
}
