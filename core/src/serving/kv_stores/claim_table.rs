use {
    super::{ClaimAnswer, ClaimCall, ClaimId, ClaimedPart, KeeperRole, StoredPart},
    crate::time::Micros,
    std::collections::{HashMap, VecDeque},
};

/// Time after the start within which nothing is granted: fronts report the claims that the previous
/// process had granted.
pub const CLAIM_WARM_UP: Micros = Micros::from_secs(3);
/// Time after the start within which an agent does not decide while another keeper is silent: the
/// claims of requests that end within 17 s have expired by then.
pub const MAJORITY_WARM_UP: Micros = Micros::from_secs(30);
/// Time within which fronts that claim a part together are told apart by the primary keeper alone.
const RACE_TIME: Micros = Micros::from_millis(100);
/// Maximum number of complete parts that are remembered; the oldest are forgotten first.
const MAX_COMPLETE: usize = 20_000;
/// Interval at which expired claims are removed.
const PRUNE_INTERVAL: Micros = Micros::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct HeldClaim {
    id: ClaimId,
    claimed_at: Micros,
    expires_at: Micros,
}

/// Claims of parts that an agent keeps on behalf of all fronts.
///
/// An engine carries a save out whenever it has read the prompt, also after the store has restarted.
/// A part is therefore saved by one request at a time: while a store has it, no save of it is
/// outstanding that could rewrite it under a fetch in the store's next incarnation.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<StoredPart, Vec<HeldClaim>>,
    /// Incarnation of the store that had each part complete when its claim ended.
    complete: HashMap<StoredPart, u64>,
    complete_order: VecDeque<StoredPart>,
    pruned_at: Micros,
}

impl ClaimTable {
    /// Applies a call of a front; `now` is the time since this process started.
    pub fn apply(
        &mut self,
        call: ClaimCall,
        now: Micros,
    ) -> Option<ClaimAnswer> {
        self.prune(now);
        match call {
            ClaimCall::Claim { id, parts, lasts } => {
                let claim = HeldClaim {
                    id,
                    claimed_at: now,
                    expires_at: now + lasts,
                };
                let (granted, refused): (Vec<ClaimedPart>, Vec<ClaimedPart>) = parts
                    .into_iter()
                    .partition(|claimed| self.claim(claimed, claim, now));
                Some(ClaimAnswer {
                    id,
                    granted: granted.iter().map(|claimed| claimed.part).collect(),
                    refused: refused.iter().map(|claimed| claimed.part).collect(),
                })
            }
            ClaimCall::Restore { id, parts, lasts } => {
                let claim = HeldClaim {
                    id,
                    claimed_at: Micros::ZERO,
                    expires_at: now + lasts,
                };
                for part in parts {
                    self.hold(part, claim);
                }
                None
            }
            ClaimCall::Release { id, parts } => {
                for (part, epoch) in parts {
                    self.release(part, id, epoch);
                }
                None
            }
        }
    }

    fn claim(
        &mut self,
        claimed: &ClaimedPart,
        claim: HeldClaim,
        now: Micros,
    ) -> bool {
        // A front that missed an event does not know that the store has the part.
        let is_complete = self.complete.get(&claimed.part) == Some(&claimed.epoch);
        let warm_up = match claimed.role {
            KeeperRole::Majority => MAJORITY_WARM_UP,
            KeeperRole::Primary | KeeperRole::Secondary => CLAIM_WARM_UP,
        };
        if now < warm_up || is_complete {
            return false;
        }
        let held = self.claims.get(&claimed.part);
        let mut others = held
            .into_iter()
            .flatten()
            .filter(|held| held.id != claim.id && held.expires_at > now);
        let is_free = match claimed.role {
            KeeperRole::Primary | KeeperRole::Majority => others.next().is_none(),
            KeeperRole::Secondary => others.all(|held| held.claimed_at + RACE_TIME > now),
        };
        if is_free {
            // No primary keeper tells apart the fronts that claim the part together.
            let claimed_at = match claimed.role {
                KeeperRole::Majority => Micros::ZERO,
                KeeperRole::Primary | KeeperRole::Secondary => claim.claimed_at,
            };
            let claim = HeldClaim {
                claimed_at,
                ..claim
            };
            self.hold(claimed.part, claim);
        }
        is_free
    }

    fn hold(
        &mut self,
        part: StoredPart,
        claim: HeldClaim,
    ) {
        let held = self.claims.entry(part).or_default();
        held.retain(|known| known.id != claim.id);
        held.push(claim);
    }

    fn release(
        &mut self,
        part: StoredPart,
        id: ClaimId,
        epoch: Option<u64>,
    ) {
        if let Some(held) = self.claims.get_mut(&part) {
            held.retain(|known| known.id != id);
            if held.is_empty() {
                self.claims.remove(&part);
            }
        }
        let Some(epoch) = epoch else {
            return;
        };
        if self.complete.insert(part, epoch).is_none() {
            self.complete_order.push_back(part);
        }
        if self.complete_order.len() > MAX_COMPLETE {
            let oldest = self.complete_order.pop_front();
            oldest.map(|oldest| self.complete.remove(&oldest));
        }
    }

    fn prune(
        &mut self,
        now: Micros,
    ) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.claims.retain(|_, held| {
            held.retain(|claim| claim.expires_at > now);
            !held.is_empty()
        });
    }
}
