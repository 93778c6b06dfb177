//! Simulation of fronts, the agents that keep their claims, and a store. Engines carry out saves
//! late, and the store, agents or fronts restart meanwhile.

mod store_fixture;

use {
    pitchhitch_core::{
        serving::{
            ClaimEnd, ClaimTable, KeeperSet, KvStoreView, NamespaceTag, PartId, SaveClaims,
            StoredPart,
        },
        time::Micros,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::net::SocketAddr,
    store_fixture::{address, at, store, START},
};

const FRONTS: usize = 3;
const AGENTS: usize = 3;
/// Number of agents with those that only some fronts know.
const MAX_AGENTS: usize = 20;
const STEPS: usize = 500;
/// Duration of a step, in milliseconds.
const STEP_MS: u64 = 50;
/// Steps until fronts know that an agent has restarted.
const RESTORE_STEPS: usize = 20;
/// Time that is left to each request.
const TIME_LEFT: Micros = Micros::from_secs(6);

#[derive(Debug, Clone, Copy)]
enum SimEvent {
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
}

struct SimFront {
    view: KvStoreView,
    claims: SaveClaims,
    lag: Option<usize>,
}

/// A save that an engine has yet to carry out.
struct PendingSave {
    due: usize,
    front: usize,
    /// Number of its claims, if the front has not restarted since.
    number: Option<u64>,
}

struct SaveSim {
    uses_claims: bool,
    step: usize,
    fronts: Vec<SimFront>,
    agents: Vec<(ClaimTable, Micros)>,
    /// Agents that each front knows.
    keepers: Vec<KeeperSet>,
    restores: Vec<(usize, usize)>,
    saves: Vec<PendingSave>,
    epoch: u64,
    complete_since: Option<usize>,
    /// Times on the engines' clock by which fetches must have ended.
    fetches: Vec<u64>,
    fetch_count: usize,
    overlaps: usize,
}

fn agent(index: usize) -> SocketAddr {
    ([10, 9, 1, index as u8], 7_700).into()
}

fn known_agents(indexes: impl Iterator<Item = usize>) -> KeeperSet {
    KeeperSet::new(indexes.map(agent))
}

fn part() -> StoredPart {
    StoredPart {
        store: address(),
        namespace: NamespaceTag(1),
        id: PartId::parse("a1").expect("id"),
    }
}

fn start_front(incarnation: usize) -> SimFront {
    SimFront {
        view: KvStoreView::new(store()),
        claims: SaveClaims::new(incarnation as u64),
        lag: Some(0),
    }
}

impl SaveSim {
    fn new(uses_claims: bool) -> Self {
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

    fn now(&self) -> Micros {
        START + at(self.step as u64 * STEP_MS)
    }

    fn run(
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

    fn apply(
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
                self.fronts[front] = start_front(FRONTS + self.step);
                let own = self.saves.iter_mut().filter(|save| save.front == front);
                own.for_each(|save| save.number = None);
            }
        }
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
    fn exchange(&mut self) {
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
                let index = (0..MAX_AGENTS).find(|index| agent(*index) == to);
                let (table, started_at) = &mut self.agents[index.expect("an agent")];
                if let Some(answer) = table.apply(call, now.since(*started_at)) {
                    front.claims.record_answer(&answer, to);
                }
            }
        }
    }
}

fn sim_event(restart: impl Strategy<Value = SimEvent>) -> impl Strategy<Value = SimEvent> {
    let lag = prop_oneof![4 => (0..10_usize).prop_map(Some), 1 => Just(None)];
    prop_oneof![
        60 => Just(SimEvent::Nothing),
        60 => (0..FRONTS, 0..110_usize, lag)
            .prop_map(|(front, delay, lag)| SimEvent::Prompt { front, delay, lag }),
        1 => Just(SimEvent::RestartStore),
        1 => restart,
    ]
}

fn sim_events() -> impl Strategy<Value = Vec<SimEvent>> {
    let agents = sim_event((0..AGENTS).prop_map(SimEvent::RestartAgent));
    let fronts = sim_event((0..FRONTS).prop_map(SimEvent::RestartFront));
    prop_oneof![
        prop::collection::vec(agents, STEPS),
        prop::collection::vec(fronts, STEPS),
    ]
}

fn prompt(
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
fn schedule(events: &[(usize, SimEvent)]) -> Vec<SimEvent> {
    let mut all = vec![SimEvent::Nothing; 300];
    for (step, event) in events {
        all[80 + step] = *event;
    }
    all
}

/// Two fronts order the same save, and the later one is carried out after a restart of the store.
fn duplicate_saves() -> Vec<SimEvent> {
    schedule(&[
        (0, prompt(0, 40)),
        (10, prompt(1, 1)),
        (29, prompt(1, 0)),
        (32, SimEvent::RestartStore),
    ])
}

/// Guards against a save that rewrites a part, after a restart of its store, under fetches that
/// fronts had requested before.
#[test]
fn late_save_unfetched() {
    assert!(SaveSim::new(false).run(&duplicate_saves()).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&duplicate_saves()).overlaps, 0);
}

/// A part that no other request is to save is saved and fetched, also after a restart of the store.
#[test]
fn sole_save_fetched() {
    let events = schedule(&[
        (0, prompt(0, 2)),
        (10, prompt(1, 0)),
        (20, SimEvent::RestartStore),
        (100, prompt(2, 2)),
        (110, prompt(0, 0)),
    ]);
    let sim = SaveSim::new(true).run(&events);
    assert_eq!((sim.fetch_count, sim.overlaps), (2, 0));
}

/// A front that missed the event does not rewrite a part that the store has.
#[test]
fn missed_event_unsaved() {
    let missing = |delay| SimEvent::Prompt {
        front: 1,
        delay,
        lag: None,
    };
    let events = schedule(&[
        (0, prompt(0, 2)),
        (1, missing(30)),
        (100, missing(40)),
        (120, prompt(2, 0)),
        (125, SimEvent::RestartStore),
    ]);
    assert!(SaveSim::new(false).run(&events).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
}

/// Agents that restart while a save is outstanding do not grant it again.
#[test]
fn restarted_keepers_refuse() {
    let events = schedule(&[
        (0, prompt(0, 110)),
        (5, SimEvent::RestartAgent(0)),
        (6, SimEvent::RestartAgent(1)),
        (7, SimEvent::RestartAgent(2)),
        (75, prompt(1, 1)),
        (90, prompt(2, 0)),
        (95, SimEvent::RestartStore),
    ]);
    assert!(SaveSim::new(false).run(&events).overlaps > 0);
    assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
}

/// Of two fronts, one knows an agent that the other does not, and it is the part's primary keeper.
#[test]
fn unknown_keeper_harmless() {
    let mut sim = SaveSim::new(true);
    let added = (AGENTS..MAX_AGENTS).find(|added| {
        let known = known_agents((0..AGENTS).chain([*added]));
        known.nearest_to(part().hash(), 1) == [agent(*added)]
    });
    let added = added.expect("an agent that ranks first");
    sim.keepers[1] = known_agents((0..AGENTS).chain([added]));
    assert_eq!(sim.run(&duplicate_saves()).overlaps, 0);
}

/// The claims of a request that never ran are free at once; those of one that may still run are not.
#[test]
fn unsent_claim_released() {
    let mut sim = SaveSim::new(true).run(&vec![SimEvent::Nothing; 80]);
    for (end, is_free) in [(ClaimEnd::Unknown, false), (ClaimEnd::NotRun, true)] {
        let now = sim.now();
        let claims = &mut sim.fronts[0].claims;
        let number = claims.begin(&[(part(), 1)], &sim.keepers[0], TIME_LEFT, now);
        sim.exchange();
        assert_eq!(sim.fronts[0].claims.confirm(number, now).0, [part()]);
        sim.fronts[0].claims.end(number, end, now);
        sim.exchange();
        let other = sim.fronts[1]
            .claims
            .begin(&[(part(), 1)], &sim.keepers[0], TIME_LEFT, now);
        sim.exchange();
        let (confirmed, _) = sim.fronts[1].claims.confirm(other, now);
        assert_eq!(!confirmed.is_empty(), is_free, "{end:?}");
        sim.fronts[0].claims.end(number, ClaimEnd::NotRun, now);
        sim.exchange();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(74),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_saves_unfetched(events in sim_events()) {
        prop_assert_eq!(SaveSim::new(true).run(&events).overlaps, 0);
    }
}
