//! Simulation of a store and fronts that report the uptime of the store's incarnation to each
//! other, with restarts and process pauses.
//!
//! A restarted store is empty. A front that saves there while another front still relies on its
//! view of the previous incarnation could cause a part to be treated as complete that is still
//! being written, so no save may happen until those views have expired.

mod store_fixture;

use {
    pitchhitch_core::{
        serving::{KvStoreDirectory, KvStoreUptime, KvStoreView, SAVE_DELAY, VIEW_TTL},
        time::Micros,
    },
    proptest::prelude::*,
    store_fixture::{address, at, store, START},
};

/// Duration of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Number of steps of a simulation.
const STEPS: usize = 400;
const FRONTS: usize = 3;

/// Event of one simulation step.
#[derive(Debug, Clone, Copy)]
enum SimEvent {
    Nothing,
    /// The store restarts with no content.
    RestartStore,
    /// A front restarts without any state.
    RestartFront {
        front: usize,
    },
    /// A front sends a request to the store; the reply takes `delay_steps` to arrive.
    PollStore {
        front: usize,
        delay_steps: usize,
    },
    /// A front queries a peer that is paused for `pause_steps` before it replies; the reply takes
    /// `delay_steps` to arrive or to be processed.
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
        8 => (front(), 0..30_usize)
            .prop_map(|(front, delay_steps)| SimEvent::PollStore { front, delay_steps }),
        6 => (front(), front(), 0..80_usize, 0..40_usize).prop_map(
            |(front, peer, pause_steps, delay_steps)|
                SimEvent::QueryPeer { front, peer, pause_steps, delay_steps }
        ),
    ]
}

/// Message in transit.
enum Message {
    /// Reply of the store to a request of a front.
    StoreReply {
        to: usize,
        incarnation: u64,
        sent_at: Micros,
        epoch: u64,
    },
    /// Query that a front replies to on delivery.
    PeerQuery {
        peer: usize,
        to: usize,
        incarnation: u64,
        delay_steps: usize,
    },
    PeerReply {
        to: usize,
        incarnation: u64,
        reports: Vec<KvStoreUptime>,
    },
}

struct SimFront {
    directory: KvStoreDirectory,
    incarnation: u64,
}

impl SimFront {
    fn start(incarnation: u64) -> Self {
        let mut directory = KvStoreDirectory::default();
        directory.set_stores(&[store()]);
        SimFront {
            directory,
            incarnation,
        }
    }

    fn view(&mut self) -> &mut KvStoreView {
        self.directory.view_mut(address()).expect("view")
    }
}

struct StoreSim {
    fronts: Vec<SimFront>,
    messages: Vec<(usize, Message)>,
    epoch: u64,
    store_started_at: Micros,
    /// Steps in which a front could save within [`SAVE_DELAY`] of its start.
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
                    front.view().record_response(epoch, Some(1), sent_at, now);
                }
            }
            Message::PeerQuery {
                peer,
                to,
                incarnation,
                delay_steps,
            } => {
                let reports = self.fronts[peer].directory.store_uptimes(now);
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
                        .for_each(|report| front.directory.record_uptime(report, now));
                }
            }
        }
    }

    /// Checks that a front which may save in the current incarnation of the store does so only
    /// after all views of the previous incarnation have expired.
    fn check_saves(
        &mut self,
        now: Micros,
    ) {
        let age = now.since(self.store_started_at);
        for front in &mut self.fronts {
            let front_started_at = START + at(front.incarnation * STEP_MS);
            let view = front.view();
            let is_current = view.epoch() == Some(self.epoch);
            if is_current && view.can_save(10, now) {
                assert!(age > VIEW_TTL, "saved after {age:?}");
                self.early_saves += usize::from(now.since(front_started_at) <= SAVE_DELAY);
            }
        }
    }
}

/// Runs a simulation and returns the number of steps in which a recently started front could save.
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

    /// With any sequence of restarts, pauses and delays, nothing is saved while a view of the
    /// previous incarnation of the store may still be in use.
    #[test]
    fn saves_after_expiry(sim_events in proptest::collection::vec(sim_event(), STEPS)) {
        run_sim(&sim_events);
    }
}

/// A restarted front saves early after a peer reported the uptime, so the property test above is
/// not vacuous.
#[test]
fn reported_uptime_allows_saves() {
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
