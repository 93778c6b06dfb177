//! In a small world of a store and fronts that tell each other of its life, whatever starts
//! again or stands still, nothing is saved while the life before may be taken for this one.

mod store_fixture;

use {
    pitchhitch_core::{
        serving::{MemoryMap, StoreView, ToldLife, SAVE_DELAY, VIEW_TTL},
        time::Micros,
    },
    proptest::prelude::*,
    store_fixture::{address, at, store, START},
};

/// Length of a step of the small world, in milliseconds.
const STEP_MS: u64 = 50;
/// Steps that it lasts.
const STEPS: usize = 400;
const FRONTS: usize = 3;

/// What happens in a step of the small world.
#[derive(Debug, Clone, Copy)]
enum Happening {
    Nothing,
    /// The store starts again, empty.
    Restart,
    /// A front starts again, and knows nothing.
    NewFront {
        front: usize,
    },
    /// A front looks at the store; the answer is on its way for so many steps.
    Look {
        front: usize,
        way: usize,
    },
    /// A front asks another one, which stands still before it answers; the answer is on its
    /// way, or lies with the one that asked.
    Ask {
        front: usize,
        peer: usize,
        stands: usize,
        way: usize,
    },
}

fn happening() -> impl Strategy<Value = Happening> {
    let front = || 0..FRONTS;
    prop_oneof![
        2 => Just(Happening::Nothing),
        1 => Just(Happening::Restart),
        2 => front().prop_map(|front| Happening::NewFront { front }),
        8 => (front(), 0..30_usize).prop_map(|(front, way)| Happening::Look { front, way }),
        6 => (front(), front(), 0..80_usize, 0..40_usize).prop_map(
            |(front, peer, stands, way)| Happening::Ask { front, peer, stands, way }
        ),
    ]
}

/// What is under way in the small world, and the step in which it comes.
enum Letter {
    /// The store's answer to a question that a front sent.
    Answer {
        to: usize,
        life: u64,
        sent_at: Micros,
        epoch: u64,
    },
    /// A question that a front is to answer now.
    Question {
        peer: usize,
        to: usize,
        life: u64,
        way: usize,
    },
    Told {
        to: usize,
        life: u64,
        told: Vec<ToldLife>,
    },
}

struct SmallFront {
    map: MemoryMap,
    life: u64,
}

impl SmallFront {
    fn start(life: u64) -> Self {
        let mut map = MemoryMap::default();
        map.set_stores(&[store()]);
        SmallFront { map, life }
    }

    fn view(&mut self) -> &mut StoreView {
        self.map.view_mut(address()).expect("view")
    }
}

struct SmallWorld {
    fronts: Vec<SmallFront>,
    letters: Vec<(usize, Letter)>,
    epoch: u64,
    restarted_at: Micros,
    /// Saves that a front could ask for in the first [`SAVE_DELAY`] of its own life.
    early: usize,
}

impl SmallWorld {
    fn new() -> Self {
        SmallWorld {
            fronts: (0..FRONTS).map(|_| SmallFront::start(0)).collect(),
            letters: Vec::new(),
            epoch: 1,
            restarted_at: START,
            early: 0,
        }
    }

    fn happen(
        &mut self,
        happening: Happening,
        step: usize,
        now: Micros,
    ) {
        match happening {
            Happening::Nothing => {}
            Happening::Restart => {
                self.epoch += 1;
                self.restarted_at = now;
            }
            Happening::NewFront { front } => {
                self.fronts[front] = SmallFront::start(step as u64 + 1);
            }
            Happening::Look { front, way } => {
                let answer = Letter::Answer {
                    to: front,
                    life: self.fronts[front].life,
                    sent_at: now,
                    epoch: self.epoch,
                };
                self.letters.push((step + way, answer));
            }
            Happening::Ask {
                front,
                peer,
                stands,
                way,
            } => {
                let life = self.fronts[front].life;
                let to = front;
                let question = Letter::Question {
                    peer,
                    to,
                    life,
                    way,
                };
                self.letters.push((step + stands, question));
            }
        }
    }

    fn deliver(
        &mut self,
        step: usize,
        now: Micros,
    ) {
        let (due, later) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|(at, _)| *at <= step);
        self.letters = later;
        for (_, letter) in due {
            self.take(letter, step, now);
        }
    }

    fn take(
        &mut self,
        letter: Letter,
        step: usize,
        now: Micros,
    ) {
        match letter {
            Letter::Answer {
                to,
                life,
                sent_at,
                epoch,
            } => {
                let front = &mut self.fronts[to];
                if front.life == life {
                    front.view().record_answer(epoch, Some(1), sent_at, now);
                }
            }
            Letter::Question {
                peer,
                to,
                life,
                way,
            } => {
                let told = self.fronts[peer].map.lives(now);
                let letter = Letter::Told { to, life, told };
                self.letters.push((step + way, letter));
            }
            Letter::Told { to, life, told } => {
                let front = &mut self.fronts[to];
                if front.life == life {
                    told.iter().for_each(|told| front.map.tell_life(told, now));
                }
            }
        }
    }

    /// Whoever saves in the life that the store is in does so when no view of the life
    /// before is gone by any more.
    fn check(
        &mut self,
        now: Micros,
    ) {
        let lasted = now.since(self.restarted_at);
        for front in &mut self.fronts {
            let started = START + at(front.life * STEP_MS);
            let view = front.view();
            let is_current = view.epoch() == Some(self.epoch);
            if is_current && view.can_save(10, now) {
                assert!(lasted > VIEW_TTL, "saved after {lasted:?}");
                self.early += usize::from(now.since(started) <= SAVE_DELAY);
            }
        }
    }
}

/// Plays a world, and counts the steps in which a young front could save.
fn play(happenings: &[Happening]) -> usize {
    let mut world = SmallWorld::new();
    for (step, happening) in happenings.iter().enumerate() {
        let now = START + at(step as u64 * STEP_MS);
        world.deliver(step, now);
        world.happen(*happening, step, now);
        world.check(now);
    }
    world.early
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Whatever starts again, stands still or is behind, nothing is saved while a view of
    /// the life before may still be gone by.
    #[test]
    fn no_early_saves(happenings in proptest::collection::vec(happening(), STEPS)) {
        play(&happenings);
    }
}

/// The small world does have fronts that save early because they were told.
#[test]
fn told_world_saves() {
    let look = |front| Happening::Look { front, way: 1 };
    let mut happenings = vec![Happening::Nothing; 120];
    happenings[0] = look(0);
    happenings[70] = Happening::NewFront { front: 1 };
    happenings[71] = look(1);
    happenings[72] = Happening::Ask {
        front: 1,
        peer: 0,
        stands: 1,
        way: 1,
    };
    assert!(play(&happenings) > 0);
}
