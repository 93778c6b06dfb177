use {
    super::{ClaimAnswer, ClaimCall, ClaimId, ClaimedPart, KeeperChanges, KeeperRole, StoredPart},
    crate::{serving::KeeperSet, time::Micros},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// Number of agents that may keep the claims of a part.
const KEEPERS_PER_PART: usize = 3;
/// Number of them that decide on each claim. Any two pairs have an agent in common.
const DECIDING_KEEPERS: usize = 2;
/// Age up to which granted claims may be used: this process may have been paused since it asked.
const MAX_GRANT_AGE: Micros = Micros::from_millis(500);
/// Time after the end of a run within which its saves are carried out: engines abandon a transfer
/// that would wait for two seconds.
const TRANSFER_TIME: Micros = Micros::from_secs(3);
/// Time by which an engine that was paused may exceed the time limit of a request.
const PAUSE_TIME: Micros = Micros::from_secs(10);

/// What is known of a request whose saves were claimed, when the front is done with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It has not run and never will.
    NotRun,
    /// The engine has read its prompt.
    Begun,
    /// The engine may still run it.
    Unknown,
}

#[derive(Debug)]
struct PartClaim {
    part: StoredPart,
    keepers: Vec<SocketAddr>,
    granted: Vec<SocketAddr>,
    is_refused: bool,
}

impl PartClaim {
    fn is_granted(&self) -> bool {
        !self.is_refused && self.granted.len() == self.keepers.len()
    }
}

#[derive(Debug)]
struct RequestClaims {
    parts: Vec<PartClaim>,
    asked_at: Micros,
    expires_at: Micros,
    /// When the claims are released, once that is known.
    release_at: Option<Micros>,
}

/// Claims of the parts that this front has its requests save.
#[derive(Debug)]
pub struct SaveClaims {
    front: u64,
    last_number: u64,
    requests: HashMap<u64, RequestClaims>,
    unsent: Vec<(SocketAddr, ClaimCall)>,
    /// Agents that do not report; they would not answer in time.
    silent_agents: BTreeSet<SocketAddr>,
    keeper_changes: KeeperChanges,
}

impl SaveClaims {
    /// No claims, in this incarnation of a front.
    pub fn new(front: u64) -> Self {
        SaveClaims {
            front,
            last_number: 0,
            requests: HashMap::new(),
            unsent: Vec::new(),
            silent_agents: BTreeSet::new(),
            keeper_changes: KeeperChanges::default(),
        }
    }

    /// Agents that do not report.
    pub fn silent_agents(&self) -> &BTreeSet<SocketAddr> {
        &self.silent_agents
    }

    /// Sets the agents that do not report, which are not asked, and reports claims to those that
    /// report again.
    pub fn set_silent(
        &mut self,
        silent: BTreeSet<SocketAddr>,
        agents: &KeeperSet,
        now: Micros,
    ) {
        let has_returned = !self.silent_agents.is_subset(&silent);
        self.silent_agents = silent;
        if has_returned {
            self.complete_keepers(agents, now);
        }
    }

    /// Asks the keepers of these parts, each with the incarnation of its store, for the claims of a
    /// request that ends within `time_left`. Returns the number of the claims.
    pub fn begin(
        &mut self,
        parts: &[(StoredPart, u64)],
        agents: &KeeperSet,
        time_left: Micros,
        now: Micros,
    ) -> u64 {
        self.last_number += 1;
        let id = self.id(self.last_number);
        let lasts = time_left + TRANSFER_TIME + PAUSE_TIME;
        let mut asked: BTreeMap<SocketAddr, Vec<ClaimedPart>> = BTreeMap::new();
        let mut claims = Vec::new();
        for (part, epoch) in parts {
            let (keepers, roles) = self.deciding_keepers(part, agents, now);
            for (keeper, role) in keepers.iter().zip(roles) {
                asked.entry(*keeper).or_default().push(ClaimedPart {
                    part: *part,
                    epoch: *epoch,
                    role,
                });
            }
            claims.push(PartClaim {
                part: *part,
                is_refused: keepers.is_empty(),
                keepers,
                granted: Vec::new(),
            });
        }
        let calls = asked
            .into_iter()
            .map(|(keeper, parts)| (keeper, ClaimCall::Claim { id, parts, lasts }));
        self.unsent.extend(calls);
        let request = RequestClaims {
            parts: claims,
            asked_at: now,
            expires_at: now + lasts,
            release_at: None,
        };
        self.requests.insert(id.number, request);
        id.number
    }

    /// The agents to ask for a claim, and their roles; none if too few report.
    fn deciding_keepers(
        &self,
        part: &StoredPart,
        agents: &KeeperSet,
        now: Micros,
    ) -> (Vec<SocketAddr>, [KeeperRole; DECIDING_KEEPERS]) {
        let is_silent = |keeper: &SocketAddr| self.silent_agents.contains(keeper);
        let mut keepers = agents.nearest_to(part.hash(), KEEPERS_PER_PART);
        if !keepers.iter().take(DECIDING_KEEPERS).any(is_silent) {
            keepers.truncate(DECIDING_KEEPERS);
            return (keepers, [KeeperRole::Primary, KeeperRole::Secondary]);
        }
        let changes = &self.keeper_changes;
        let is_settled = changes.is_settled(&keepers, part.hash(), now);
        let is_complete = keepers.len() == KEEPERS_PER_PART;
        keepers.retain(|keeper| !is_silent(keeper));
        if !is_settled || !is_complete || keepers.len() < DECIDING_KEEPERS {
            keepers.clear();
        }
        (keepers, [KeeperRole::Majority; DECIDING_KEEPERS])
    }

    /// Records an agent's answer. Returns the number of the claims if no further answer is expected.
    pub fn record_answer(
        &mut self,
        answer: &ClaimAnswer,
        from: SocketAddr,
    ) -> Option<u64> {
        let number = answer.id.number;
        if answer.id != self.id(number) {
            return None;
        }
        for claim in &mut self.requests.get_mut(&number)?.parts {
            if !claim.keepers.contains(&from) {
                continue;
            }
            claim.is_refused |= answer.refused.contains(&claim.part);
            if answer.granted.contains(&claim.part) && !claim.granted.contains(&from) {
                claim.granted.push(from);
            }
        }
        self.is_answered(number).then_some(number)
    }

    /// Whether no further answer to these claims is expected.
    pub fn is_answered(
        &self,
        number: u64,
    ) -> bool {
        let request = self.requests.get(&number);
        request.is_none_or(|request| {
            let mut parts = request.parts.iter();
            parts.all(|claim| claim.is_refused || claim.is_granted())
        })
    }

    /// The parts that the request may save, and the others, whose claims are released.
    pub fn confirm(
        &mut self,
        number: u64,
        now: Micros,
    ) -> (Vec<StoredPart>, Vec<StoredPart>) {
        let id = self.id(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return (Vec::new(), Vec::new());
        };
        let is_current = now.since(request.asked_at) < MAX_GRANT_AGE;
        let (granted, others): (Vec<PartClaim>, Vec<PartClaim>) = request
            .parts
            .drain(..)
            .partition(|claim| is_current && claim.is_granted());
        request.parts = granted;
        let parts = |claims: &[PartClaim]| claims.iter().map(|claim| claim.part).collect();
        let outcome = (parts(&request.parts), parts(&others));
        if request.parts.is_empty() {
            self.requests.remove(&number);
        }
        self.unsent.extend(release_calls(id, &others, |_| None));
        outcome
    }

    /// Records that the front is done with the request.
    pub fn end(
        &mut self,
        number: u64,
        end: ClaimEnd,
        now: Micros,
    ) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.release_at = match end {
                ClaimEnd::NotRun => Some(now),
                ClaimEnd::Begun => Some(now + TRANSFER_TIME),
                ClaimEnd::Unknown => None,
            };
        }
    }

    /// Calls to send now. `complete_epoch` is the incarnation of a part's store in which this front
    /// knows the part to be complete.
    pub fn take_due(
        &mut self,
        complete_epoch: impl Fn(&StoredPart) -> Option<u64>,
        now: Micros,
    ) -> Vec<(SocketAddr, ClaimCall)> {
        let is_over = |request: &RequestClaims| {
            let is_due = request.release_at.is_some_and(|at| at <= now);
            is_due || request.expires_at <= now
        };
        let numbers = self.requests.iter();
        let numbers = numbers.filter(|(_, request)| is_over(request));
        let over: Vec<u64> = numbers.map(|(number, _)| *number).collect();
        let mut calls = std::mem::take(&mut self.unsent);
        for number in over {
            if let Some(request) = self.requests.remove(&number) {
                calls.extend(release_calls(
                    self.id(number),
                    &request.parts,
                    &complete_epoch,
                ));
            }
        }
        calls
    }

    /// Reports the claims of this agent, which has restarted, to it again.
    pub fn restore_at(
        &mut self,
        agent: SocketAddr,
        now: Micros,
    ) {
        self.restore(now, |claim| {
            let is_keeper = claim.keepers.contains(&agent);
            is_keeper.then_some(agent).into_iter().collect()
        });
    }

    /// Reports the claims whose keepers are others by now to the new ones.
    pub fn reassign(
        &mut self,
        agents: &KeeperSet,
        previous: &KeeperSet,
        now: Micros,
    ) {
        self.keeper_changes.record(previous, agents, now);
        self.complete_keepers(agents, now);
    }

    fn complete_keepers(
        &mut self,
        agents: &KeeperSet,
        now: Micros,
    ) {
        let silent = std::mem::take(&mut self.silent_agents);
        self.restore(now, |claim| {
            let keepers = agents.nearest_to(claim.part.hash(), KEEPERS_PER_PART);
            let added = keepers
                .iter()
                .filter(|keeper| !claim.keepers.contains(keeper) && !silent.contains(keeper));
            let added: Vec<SocketAddr> = added.copied().collect();
            claim.keepers.extend(&added);
            claim.granted.extend(&added);
            added
        });
        self.silent_agents = silent;
    }

    fn restore(
        &mut self,
        now: Micros,
        mut receivers: impl FnMut(&mut PartClaim) -> Vec<SocketAddr>,
    ) {
        let front = self.front;
        for (number, request) in &mut self.requests {
            let mut parts: BTreeMap<SocketAddr, Vec<StoredPart>> = BTreeMap::new();
            let granted = request.parts.iter_mut().filter(|claim| claim.is_granted());
            for claim in granted {
                for receiver in receivers(claim) {
                    parts.entry(receiver).or_default().push(claim.part);
                }
            }
            let id = ClaimId {
                front,
                number: *number,
            };
            let lasts = request.expires_at.since(now);
            let calls = parts
                .into_iter()
                .map(|(to, parts)| (to, ClaimCall::Restore { id, parts, lasts }));
            self.unsent.extend(calls);
        }
    }

    fn id(
        &self,
        number: u64,
    ) -> ClaimId {
        ClaimId {
            front: self.front,
            number,
        }
    }
}

fn release_calls(
    id: ClaimId,
    claims: &[PartClaim],
    complete_epoch: impl Fn(&StoredPart) -> Option<u64>,
) -> Vec<(SocketAddr, ClaimCall)> {
    let mut released: BTreeMap<SocketAddr, Vec<(StoredPart, Option<u64>)>> = BTreeMap::new();
    for claim in claims {
        let epoch = complete_epoch(&claim.part);
        for keeper in &claim.keepers {
            released
                .entry(*keeper)
                .or_default()
                .push((claim.part, epoch));
        }
    }
    let calls = released.into_iter();
    calls
        .map(|(keeper, parts)| (keeper, ClaimCall::Release { id, parts }))
        .collect()
}
