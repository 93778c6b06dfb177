//! In a small world of a store and fronts that tell each other of its life, whatever starts
//! again or stands still, nothing is saved while the life before may be taken for this one.

mod told_store;

use {
    pitchhitch_core::{
        serving::{MemoryMap, StoreView, ToldLife, SAVE_AFTER, VIEW_LIFE},
        time::Micros,
    },
    proptest::prelude::*,
    told_store::{address, at, store, START},
};

/// Length of a step of the small world, in milliseconds.
const STEP_MS: u64 = 50;
/// Steps that it lasts.
const STEPS: usize = 400;
const FRONTS: usize = 3;

/// What happens in a step of the small world.
#[derive(Debug, Clone, Copy)]
enum SimEvent {
    Nothing,
    /// The store starts again, empty.
    RestartStore,
    /// A front starts again, and knows nothing.
    RestartFront {
        front: usize,
    },
    /// A front looks at the store; the answer is on its way for so many steps.
    PollStore {
        front: usize,
        delay_steps: usize,
    },
    /// A front asks another one, which stands still before it answers; the answer is on its
    /// way, or lies with the one that asked.
    QueryPeer {
        front: usize,
        peer: usize,
        pause_steps: usize,
        delay_steps: usize,
    },
}

fn sim_event() -> impl Strategy<Value = SimEvent> {
    let front = || 0..FRONTS;
    prop_oneof![
        2 => Just(SimEvent::Nothing),
        1 => Just(SimEvent::RestartStore),
        2 => front().prop_map(|front| SimEvent::RestartFront { front }),
        8 => (front(), 0..30_usize).prop_map(|(front, delay_steps)| SimEvent::PollStore { front, delay_steps }),
        6 => (front(), front(), 0..80_usize, 0..40_usize).prop_map(
            |(front, peer, pause_steps, delay_steps)| SimEvent::QueryPeer { front, peer, pause_steps, delay_steps }
        ),
    ]
}

/// What is under way in the small world, and the step in which it comes.
enum Message {
    /// The store's answer to a question that a front sent.
    StoreReply {
        to: usize,
        incarnation: u64,
        sent_at: Micros,
        epoch: u64,
    },
    /// A question that a front is to answer now.
    PeerQuery {
        peer: usize,
        to: usize,
        incarnation: u64,
        delay_steps: usize,
    },
    PeerReply {
        to: usize,
        incarnation: u64,
        reports: Vec<ToldLife>,
    },
}

struct SimFront {
    map: MemoryMap,
    incarnation: u64,
}

impl SimFront {
    fn start(incarnation: u64) -> Self {
        let mut map = MemoryMap::default();
        map.set_stores(&[store()]);
        SimFront { map, incarnation }
    }

    fn view(&mut self) -> &mut StoreView {
        self.map.view_mut(address()).expect("view")
    }
}

struct StoreSim {
    fronts: Vec<SimFront>,
    messages: Vec<(usize, Message)>,
    epoch: u64,
    store_started_at: Micros,
    /// Saves that a front could ask for in the first [`SAVE_AFTER`] of its own life.
    early_saves: usize,
}

impl StoreSim {
    fn new() -> Self {
        StoreSim {
            fronts: (0..FRONTS).map(|_| SimFront::start(0)).collect(),
            messages: Vec::new(),
            epoch: 1,
            store_started_at: START,
            early_saves: 0,
        }
    }

    fn apply_event(
        &mut self,
        sim_event: SimEvent,
        step: usize,
        now: Micros,
    ) {
        match sim_event {
            SimEvent::Nothing => {}
            SimEvent::RestartStore => {
                self.epoch += 1;
                self.store_started_at = now;
            }
            SimEvent::RestartFront { front } => {
                self.fronts[front] = SimFront::start(step as u64 + 1);
            }
            SimEvent::PollStore { front, delay_steps } => {
                let reply = Message::StoreReply {
                    to: front,
                    incarnation: self.fronts[front].incarnation,
                    sent_at: now,
                    epoch: self.epoch,
                };
                self.messages.push((step + delay_steps, reply));
            }
            SimEvent::QueryPeer {
                front,
                peer,
                pause_steps,
                delay_steps,
            } => {
                let incarnation = self.fronts[front].incarnation;
                let to = front;
                let query = Message::PeerQuery {
                    peer,
                    to,
                    incarnation,
                    delay_steps,
                };
                self.messages.push((step + pause_steps, query));
            }
        }
    }

    fn deliver(
        &mut self,
        step: usize,
        now: Micros,
    ) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= step);
        self.messages = later;
        for (_, message) in due {
            self.receive(message, step, now);
        }
    }

    fn receive(
        &mut self,
        message: Message,
        step: usize,
        now: Micros,
    ) {
        match message {
            Message::StoreReply {
                to,
                incarnation,
                sent_at,
                epoch,
            } => {
                let front = &mut self.fronts[to];
                if front.incarnation == incarnation {
                    front.view().answered(epoch, Some(1), sent_at, now);
                }
            }
            Message::PeerQuery {
                peer,
                to,
                incarnation,
                delay_steps,
            } => {
                let reports = self.fronts[peer].map.lives(now);
                let message = Message::PeerReply {
                    to,
                    incarnation,
                    reports,
                };
                self.messages.push((step + delay_steps, message));
            }
            Message::PeerReply {
                to,
                incarnation,
                reports,
            } => {
                let front = &mut self.fronts[to];
                if front.incarnation == incarnation {
                    reports
                        .iter()
                        .for_each(|report| front.map.tell_life(report, now));
                }
            }
        }
    }

    /// Whoever saves in the life that the store is in does so when no view of the life
    /// before is gone by any more.
    fn check_saves(
        &mut self,
        now: Micros,
    ) {
        let age = now.since(self.store_started_at);
        for front in &mut self.fronts {
            let front_started_at = START + at(front.incarnation * STEP_MS);
            let view = front.view();
            let is_current = view.epoch() == Some(self.epoch);
            if is_current && view.takes(10, now) {
                assert!(age > VIEW_LIFE, "saved after {age:?}");
                self.early_saves += usize::from(now.since(front_started_at) <= SAVE_AFTER);
            }
        }
    }
}

/// Plays a world, and counts the steps in which a young front could save.
fn run_sim(sim_events: &[SimEvent]) -> usize {
    let mut sim = StoreSim::new();
    for (step, sim_event) in sim_events.iter().enumerate() {
        let now = START + at(step as u64 * STEP_MS);
        sim.deliver(step, now);
        sim.apply_event(*sim_event, step, now);
        sim.check_saves(now);
    }
    sim.early_saves
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Whatever starts again, stands still or is behind, nothing is saved while a view of
    /// the life before may still be gone by.
    #[test]
    fn no_early_saves(sim_events in proptest::collection::vec(sim_event(), STEPS)) {
        run_sim(&sim_events);
    }
}

/// The small world does have fronts that save early because they were told.
#[test]
fn told_world_saves() {
    let poll = |front| SimEvent::PollStore {
        front,
        delay_steps: 1,
    };
    let mut sim_events = vec![SimEvent::Nothing; 120];
    sim_events[0] = poll(0);
    sim_events[70] = SimEvent::RestartFront { front: 1 };
    sim_events[71] = poll(1);
    sim_events[72] = SimEvent::QueryPeer {
        front: 1,
        peer: 0,
        pause_steps: 1,
        delay_steps: 1,
    };
    assert!(run_sim(&sim_events) > 0);
}
