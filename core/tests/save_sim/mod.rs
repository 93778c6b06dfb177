//! Simulation of fronts, the agents that keep their claims, and a store. Engines carry out saves
//! late, the store, agents or fronts restart meanwhile, and agents do not answer some fronts.

#![allow(dead_code)]

use {
    super::store_fixture::{address, at, store, START},
    pitchhitch_core::{
        serving::{
            ClaimEnd, ClaimTable, KeeperSet, KvStoreView, NamespaceTag, PartId, SaveClaims,
            StoredPart,
        },
        time::Micros,
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, net::SocketAddr},
};

pub const FRONTS: usize = 3;
pub const AGENTS: usize = 3;
/// Number of agents with those that only some fronts know.
pub const MAX_AGENTS: usize = 20;
pub const STEPS: usize = 500;
/// Time for which agents have been up at the first step.
const AGENT_UPTIME: Micros = Micros::from_secs(30);
/// Duration of a step, in milliseconds.
pub const STEP_MS: u64 = 50;
/// Steps until fronts know that an agent has restarted.
pub const RESTORE_STEPS: usize = 20;
/// Time that is left to each request.
pub const TIME_LEFT: Micros = Micros::from_secs(6);

#[derive(Debug, Clone, Copy)]
pub enum SimEvent {
    Nothing,
    /// A front sends a prompt that the engine reads after `delay` steps. The event that the part is
    /// complete then reaches this front after `lag` steps, and never if that is `None`.
    Prompt {
        front: usize,
        delay: usize,
        lag: Option<usize>,
    },
    RestartStore,
    RestartAgent(usize),
    RestartFront(usize),
    /// No datagram between a front and an agent arrives, and the front knows that it is silent.
    Cut(usize, usize),
    /// Datagrams between a front and an agent arrive again.
    Mend(usize, usize),
}

pub struct SimFront {
    pub view: KvStoreView,
    pub claims: SaveClaims,
    pub lag: Option<usize>,
    pub silent: BTreeSet<SocketAddr>,
}

/// A save that an engine has yet to carry out.
pub struct PendingSave {
    pub due: usize,
    pub front: usize,
    /// Number of its claims, if the front has not restarted since.
    pub number: Option<u64>,
}

pub struct SaveSim {
    pub uses_claims: bool,
    pub step: usize,
    pub fronts: Vec<SimFront>,
    pub agents: Vec<(ClaimTable, Micros)>,
    /// Agents that each front knows.
    pub keepers: Vec<KeeperSet>,
    pub restores: Vec<(usize, usize)>,
    pub saves: Vec<PendingSave>,
    pub epoch: u64,
    pub complete_since: Option<usize>,
    /// Times on the engines' clock by which fetches must have ended.
    pub fetches: Vec<u64>,
    pub fetch_count: usize,
    pub overlaps: usize,
}

pub fn agent(index: usize) -> SocketAddr {
    ([10, 9, 1, index as u8], 7_700).into()
}

pub fn known_agents(indexes: impl Iterator<Item = usize>) -> KeeperSet {
    KeeperSet::new(indexes.map(agent))
}

pub fn part() -> StoredPart {
    StoredPart {
        store: address(),
        namespace: NamespaceTag(1),
        id: PartId::parse("a1").expect("id"),
    }
}

pub fn start_front(incarnation: usize) -> SimFront {
    SimFront {
        view: KvStoreView::new(store()),
        claims: SaveClaims::new(incarnation as u64),
        lag: Some(0),
        silent: BTreeSet::new(),
    }
}

impl SaveSim {
    pub fn new(uses_claims: bool) -> Self {
        SaveSim {
            uses_claims,
            step: 0,
            fronts: (0..FRONTS).map(start_front).collect(),
            agents: (0..MAX_AGENTS).map(|_| Default::default()).collect(),
            keepers: (0..FRONTS).map(|_| known_agents(0..AGENTS)).collect(),
            restores: Vec::new(),
            saves: Vec::new(),
            epoch: 1,
            complete_since: None,
            fetches: Vec::new(),
            fetch_count: 0,
            overlaps: 0,
        }
    }

    pub fn now(&self) -> Micros {
        START + AGENT_UPTIME + at(self.step as u64 * STEP_MS)
    }

    pub fn run(
        mut self,
        events: &[SimEvent],
    ) -> Self {
        for event in events {
            self.carry_out_saves();
            self.apply(*event);
            self.update_views();
            self.exchange();
            self.step += 1;
        }
        self
    }

    /// Lets engines carry out the saves that are due: a part that the store lacks is written, under
    /// each fetch that is still allowed.
    fn carry_out_saves(&mut self) {
        let (now, step) = (self.now(), self.step);
        let (due, later) = std::mem::take(&mut self.saves)
            .into_iter()
            .partition(|save| save.due <= step);
        self.saves = later;
        for save in due {
            if self.complete_since.is_none() {
                let running = self
                    .fetches
                    .iter()
                    .filter(|until| **until > now.as_millis());
                self.overlaps += running.count();
                self.complete_since = Some(step);
            }
            if let Some(number) = save.number {
                self.fronts[save.front]
                    .claims
                    .end(number, ClaimEnd::Begun, now);
            }
        }
    }

    pub fn apply(
        &mut self,
        event: SimEvent,
    ) {
        match event {
            SimEvent::Nothing => {}
            SimEvent::Prompt { front, delay, lag } => self.send_prompt(front, delay, lag),
            SimEvent::RestartStore => {
                self.epoch += 1;
                self.complete_since = None;
            }
            SimEvent::RestartAgent(index) => {
                self.agents[index] = (ClaimTable::default(), self.now());
                self.restores.push((self.step + RESTORE_STEPS, index));
            }
            SimEvent::RestartFront(front) => {
                let silent = std::mem::take(&mut self.fronts[front].silent);
                self.fronts[front] = start_front(FRONTS + self.step);
                self.set_silent(front, silent);
                let own = self.saves.iter_mut().filter(|save| save.front == front);
                own.for_each(|save| save.number = None);
            }
            SimEvent::Cut(front, index) => {
                let mut silent = self.fronts[front].silent.clone();
                silent.insert(agent(index));
                self.set_silent(front, silent);
            }
            SimEvent::Mend(front, index) => {
                let mut silent = self.fronts[front].silent.clone();
                silent.remove(&agent(index));
                self.set_silent(front, silent);
            }
        }
    }

    fn set_silent(
        &mut self,
        front: usize,
        silent: BTreeSet<SocketAddr>,
    ) {
        let now = self.now();
        let sim_front = &mut self.fronts[front];
        sim_front.silent = silent.clone();
        sim_front
            .claims
            .set_silent(silent, &self.keepers[front], now);
    }

    fn send_prompt(
        &mut self,
        front: usize,
        delay: usize,
        lag: Option<usize>,
    ) {
        let now = self.now();
        let StoredPart { namespace, id, .. } = part();
        let sim_front = &mut self.fronts[front];
        sim_front.lag = lag;
        let view = &mut sim_front.view;
        if view.parts.cached_tokens(namespace, id) > 0 {
            let until = view.fetch_until_ms(now);
            self.fetch_count += usize::from(until.is_some());
            self.fetches.extend(until);
            return;
        }
        if view.has_or_expects(namespace, id, 10) || !view.can_save(10, now) {
            return;
        }
        view.record_save(namespace, id, 10, now);
        let epoch = view.epoch().expect("an epoch");
        let claims = &mut sim_front.claims;
        let number = claims.begin(&[(part(), epoch)], &self.keepers[front], TIME_LEFT, now);
        self.exchange();
        let (confirmed, refused) = self.fronts[front].claims.confirm(number, now);
        if !refused.is_empty() && self.uses_claims {
            self.fronts[front].view.record_refusal(namespace, id, now);
        }
        if !confirmed.is_empty() || !self.uses_claims {
            self.saves.push(PendingSave {
                due: self.step + delay,
                front,
                number: Some(number),
            });
        }
    }

    fn update_views(&mut self) {
        let now = self.now();
        let other_part = PartId::parse("b2").expect("id");
        let StoredPart { namespace, id, .. } = part();
        for front in &mut self.fronts {
            let clock = Some(now.as_millis());
            front.view.record_response(self.epoch, clock, now, now);
            // Saves of other parts end the wait for those that never came.
            front.view.record_save(namespace, other_part, 0, now);
            let known_since = self
                .complete_since
                .zip(front.lag)
                .map(|(since, lag)| since + lag);
            if known_since.is_some_and(|since| since <= self.step) {
                front.view.set_part(namespace, id, 10);
            }
        }
    }

    /// Delivers all calls of fronts and the answers to them.
    pub fn exchange(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.restores)
            .into_iter()
            .partition(|(at, _)| *at <= self.step);
        self.restores = later;
        for (_, index) in due {
            let fronts = self.fronts.iter_mut();
            fronts.for_each(|front| front.claims.restore_at(agent(index), now));
        }
        for front in &mut self.fronts {
            let StoredPart { namespace, id, .. } = part();
            let is_complete = front.view.parts.cached_tokens(namespace, id) > 0;
            let epoch = front.view.epoch().filter(|_| is_complete);
            for (to, call) in front.claims.take_due(|_| epoch, now) {
                if front.silent.contains(&to) {
                    continue;
                }
                let index = (0..MAX_AGENTS).find(|index| agent(*index) == to);
                let (table, started_at) = &mut self.agents[index.expect("an agent")];
                if let Some(answer) = table.apply(call, now.since(*started_at)) {
                    front.claims.record_answer(&answer, to);
                }
            }
        }
    }
}

pub fn prompt(
    front: usize,
    delay: usize,
) -> SimEvent {
    SimEvent::Prompt {
        front,
        delay,
        lag: Some(0),
    }
}

/// Events at these steps, after the time for which fronts watch a store before they save.
pub fn schedule(events: &[(usize, SimEvent)]) -> Vec<SimEvent> {
    let mut all = vec![SimEvent::Nothing; 300];
    for (step, event) in events {
        all[80 + step] = *event;
    }
    all
}

pub fn sim_event(
    weight: u32,
    fault: impl Strategy<Value = SimEvent>,
) -> impl Strategy<Value = SimEvent> {
    let lag = prop_oneof![4 => (0..10_usize).prop_map(Some), 1 => Just(None)];
    prop_oneof![
        60 => Just(SimEvent::Nothing),
        60 => (0..FRONTS, 0..110_usize, lag)
            .prop_map(|(front, delay, lag)| SimEvent::Prompt { front, delay, lag }),
        1 => Just(SimEvent::RestartStore),
        weight => fault,
    ]
}

pub fn sim_events() -> impl Strategy<Value = Vec<SimEvent>> {
    let agents = sim_event(1, (0..AGENTS).prop_map(SimEvent::RestartAgent));
    let fronts = sim_event(1, (0..FRONTS).prop_map(SimEvent::RestartFront));
    prop_oneof![
        prop::collection::vec(agents, STEPS),
        prop::collection::vec(fronts, STEPS),
    ]
}

/// Prompts while agents fall silent for single fronts, come back, or restart.
pub fn cut_events() -> impl Strategy<Value = Vec<SimEvent>> {
    let cut = (0..FRONTS, 0..AGENTS).prop_map(|(front, index)| SimEvent::Cut(front, index));
    let mend = (0..FRONTS, 0..AGENTS).prop_map(|(front, index)| SimEvent::Mend(front, index));
    let event = sim_event(6, prop_oneof![cut, mend]);
    prop::collection::vec(event, STEPS)
}

/// Indexes of the part's three keepers, in their order.
pub fn keeper_indexes() -> [usize; 3] {
    let nearest = known_agents(0..AGENTS).nearest_to(part().hash(), AGENTS);
    let index = |keeper: &SocketAddr| (0..AGENTS).find(|index| agent(*index) == *keeper);
    let indexes: Vec<usize> = nearest.iter().filter_map(index).collect();
    indexes.try_into().expect("three agents")
}
