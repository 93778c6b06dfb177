//! Which engine takes a prompt.

use pitchhitch_core::{
    serving::{
        pick_endpoint, EndpointBook, EndpointChoice, EndpointKey, EndpointNotice, EngineGroup,
        EngineLoad, EnginePace, KvStore, MechanismSet, MemoryMap, PartId, PartPlace, PickAsk,
        PromptAsk, PromptPart, SwapStage, UnreadWork, VersionOutlook, WallTag, WeightBounds,
    },
    time::Micros,
};

const NOW: Micros = Micros::from_secs(100);
const WALL: WallTag = WallTag(1);

struct Fleet {
    book: EndpointBook,
    memory: MemoryMap,
    bounds: WeightBounds,
}

fn part(
    id: &str,
    tokens: u32,
) -> PromptPart {
    let id = PartId::parse(id).expect("hex");
    PromptPart { id, tokens }
}

fn prompt() -> PromptAsk {
    PromptAsk {
        model: "m".to_string(),
        tokens_in: 12_000,
        tokens_out: 64,
        parts: vec![part("aa", 500), part("bb", 8_600), part("cc", 2_900)],
    }
}

fn group() -> EngineGroup {
    EngineGroup {
        slots: 128,
        capacity_tokens: 179_000,
        token_bytes: 35_136,
        link_mbps: 1_100_000.0,
        models: vec!["m".to_string()],
    }
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Fleet {
            book: EndpointBook::default(),
            memory: MemoryMap::default(),
            bounds: WeightBounds::default(),
        };
        for (place, id) in ["e1", "e2", "e3"].iter().enumerate() {
            fleet.book.take(&EndpointNotice {
                id: id.to_string(),
                service: "llm".to_string(),
                address: Some(([10, 0, 0, place as u8 + 1], 80).into()),
                domain: "a".to_string(),
                slots: 128,
                is_leaving: false,
                weights: vec![("m".to_string(), 1)],
                ..EndpointNotice::default()
            });
            fleet.load(id, |_| {});
        }
        fleet
    }

    fn key(
        &self,
        id: &str,
    ) -> EndpointKey {
        self.book.key(id).expect("known")
    }

    fn load(
        &mut self,
        id: &str,
        change: impl FnOnce(&mut EngineLoad),
    ) {
        let key = self.key(id);
        let entry = self.book.get_mut(key).expect("entry");
        let mut load = EngineLoad {
            at: NOW,
            total_tokens: 179_000,
            ..EngineLoad::default()
        };
        change(&mut load);
        entry.load = Some(load);
    }

    fn keep(
        &mut self,
        id: &str,
    ) {
        let key = self.key(id);
        let entry = self.book.get_mut(key).expect("entry");
        entry.parts.touch(WALL, &prompt().parts, 179_000);
    }

    /// Adds a slow store that keeps the shared parts.
    fn fill_store(&mut self) {
        let address = ([10, 9, 0, 1], 80).into();
        self.memory.set_stores(&[KvStore {
            name: "s".to_string(),
            address,
            domain: "a".to_string(),
            capacity_tokens: 1_000_000,
            link_mbps: 130_000.0,
            first_ms: 6.0,
            is_managed: true,
            held_calls: 12,
        }]);
        let view = self.memory.view_mut(address).expect("view");
        view.answered(5, Some(1_000), NOW, NOW);
        for shared in &prompt().parts[..2] {
            view.set(WALL, shared.id, shared.tokens);
        }
    }

    fn pick(
        &self,
        prompt: &PromptAsk,
        tried: &[EndpointKey],
    ) -> Option<EndpointChoice> {
        let outlooks = [VersionOutlook {
            version: 1,
            wall: WALL,
            parts: self
                .memory
                .outlook(&self.book, &group(), WALL, &prompt.parts, NOW),
        }];
        let ask = PickAsk {
            pace: &EnginePace::starting_at(1.0 / 97.0),
            weights: self.bounds,
            left_out: MechanismSet::default(),
            service: "llm",
            domain: "a",
            prompt: Some(prompt),
            rank: 2,
            tried,
            now: NOW,
        };
        pick_endpoint(&self.book, &ask, &outlooks)
    }

    fn picked(&self) -> EndpointKey {
        self.pick(&prompt(), &[]).expect("somebody").key
    }
}

#[test]
fn holder_preferred() {
    for id in ["e1", "e2", "e3"] {
        let mut fleet = Fleet::new();
        fleet.keep(id);
        let choice = fleet.pick(&prompt(), &[]).expect("somebody");
        assert_eq!(choice.key, fleet.key(id));
        assert_eq!(choice.plan.kept_tokens, 9_100);
        assert_eq!(choice.unread_tokens, 2_900);
    }
}

#[test]
fn busy_holder_left() {
    let mut fleet = Fleet::new();
    fleet.keep("e1");
    fleet.load("e1", |load| load.unread = 30);
    let choice = fleet.pick(&prompt(), &[]).expect("somebody");
    assert_ne!(choice.key, fleet.key("e1"));
    // The other one fetches from the busy one instead of reading.
    let holder = PartPlace::Engine(fleet.key("e1"));
    let sources = choice
        .plan
        .parts
        .iter()
        .filter_map(|part| part.source.as_ref());
    assert!(sources.clone().count() == 2 && sources.clone().all(|(s, _)| s.place == holder));
}

#[test]
fn silent_avoided() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    let id = fleet.book.get(first).expect("entry").id.clone();
    fleet.load(&id, |load| load.is_silent = true);
    assert_ne!(fleet.picked(), first);
}

#[test]
fn dark_suspected() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    let entry = fleet.book.get_mut(first).expect("entry");
    entry.load.as_mut().expect("load").at = NOW - Micros::from_millis(900);
    assert_ne!(fleet.picked(), first, "its reports have stopped");
    let entry = fleet.book.get_mut(first).expect("entry");
    entry.answered_at = Some(NOW - Micros::from_millis(100));
    assert_eq!(fleet.picked(), first, "it answers all the same");
}

#[test]
fn everybody_suspect() {
    let mut fleet = Fleet::new();
    for id in ["e1", "e2", "e3"] {
        fleet.load(id, |load| load.is_silent = true);
    }
    assert!(
        fleet.pick(&prompt(), &[]).is_some(),
        "somebody is better than nobody"
    );
}

#[test]
fn expired_never() {
    let mut fleet = Fleet::new();
    fleet.bounds = WeightBounds {
        newest: Some(2),
        oldest: Some(2),
    };
    assert_eq!(fleet.pick(&prompt(), &[]), None);
    let key = fleet.key("e2");
    let entry = fleet.book.get_mut(key).expect("entry");
    entry.weights.learn("m", 2);
    let choice = fleet.pick(&prompt(), &[]).expect("one has them");
    assert_eq!((choice.key, choice.version), (key, Some(2)));
}

#[test]
fn long_answers_drain() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    fleet.book.get_mut(first).expect("entry").stage = SwapStage::Draining;
    assert_ne!(fleet.picked(), first);
    let short = PromptAsk {
        tokens_out: 4,
        ..prompt()
    };
    assert_eq!(
        fleet.pick(&short, &[]).map(|choice| choice.key),
        Some(first)
    );
    fleet.book.get_mut(first).expect("entry").stage = SwapStage::Loading;
    assert_ne!(
        fleet.pick(&short, &[]).map(|choice| choice.key),
        Some(first)
    );
}

#[test]
fn tried_left_out() {
    let fleet = Fleet::new();
    let all = [fleet.key("e1"), fleet.key("e2"), fleet.key("e3")];
    assert!(!all[..2].contains(&fleet.pick(&prompt(), &all[..2]).expect("third").key));
    assert_eq!(fleet.pick(&prompt(), &all), None);
}

#[test]
fn store_feeds() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    let choice = fleet.pick(&prompt(), &[]).expect("somebody");
    assert_eq!(choice.plan.fetched_tokens, 9_100);
    assert_eq!(choice.shared_unread, 0);
}

#[test]
fn home_agrees() {
    // Fronts that know nothing of each other send the same cold prompt to the same engine.
    let homes: Vec<EndpointKey> = (0..50u64)
        .map(|number| {
            let mut cold = prompt();
            cold.parts[1] = part(&format!("{:x}", number * 7_919 + 3), 8_600);
            let (one, two) = (Fleet::new(), Fleet::new());
            let key = one.pick(&cold, &[]).expect("somebody").key;
            assert_eq!(two.pick(&cold, &[]).map(|choice| choice.key), Some(key));
            key
        })
        .collect();
    let first = homes.iter().filter(|key| **key == homes[0]).count();
    assert!(first < 40, "homes are spread: {first} of 50 at one engine");
}

/// Links between engines are many times faster than those of stores: with what
/// engines keep told at once, they go before a store that others fetch from too.
#[test]
fn engine_before_store() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    fleet.keep("e1");
    // Somebody else than the engine that keeps it must take the prompt.
    let keeper = fleet.key("e1");
    let choice = fleet.pick(&prompt(), &[keeper]).expect("somebody");
    let fetch = choice.plan.parts.iter().find(|f| f.part.tokens == 8_600);
    let (source, _) = fetch.and_then(|f| f.source.as_ref()).expect("a fetch");
    assert_eq!(source.place, PartPlace::Engine(keeper));
}

/// What an engine is believed to keep may have given way: a place that has it is
/// named all the same, at no cost where nothing is missing.
#[test]
fn kept_parts_spared() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    fleet.keep("e1");
    let choice = fleet.pick(&prompt(), &[]).expect("somebody");
    assert_eq!(choice.key, fleet.key("e1"));
    assert_eq!(choice.plan.kept_tokens, 9_100);
    assert_eq!((choice.plan.fetched_tokens, choice.plan.fetch_ms), (0, 0.0));
    for fetch in &choice.plan.parts {
        assert!(fetch.is_kept);
        let place = fetch.source.as_ref().map(|(source, _)| source.place);
        assert_eq!(place, Some(PartPlace::Store(0)));
    }
    // Nothing is queued at the store for what is not expected to be fetched.
    let wait = |memory: &MemoryMap| memory.views()[0].fetch_ms(0, NOW);
    let before = wait(&fleet.memory);
    fleet.memory.fetching(&choice.plan, NOW);
    assert_eq!(wait(&fleet.memory), before);
}

/// A report does not show yet what was just sent: the memory that it will take
/// counts whole, also where little of it has to be read.
#[test]
fn coming_prompts_take_memory() {
    let mut fleet = Fleet::new();
    fleet.load("e1", |load| {
        load.total_tokens = 100_000;
        load.used_tokens = 60_000;
    });
    let key = fleet.key("e1");
    let free = |fleet: &Fleet| {
        fleet
            .book
            .get(key)
            .and_then(|e| e.free_tokens(NOW, &EnginePace::default()))
    };
    assert_eq!(free(&fleet), Some(30_000), "a tenth is left for answers");
    let work = UnreadWork {
        ticket: 1,
        tokens: 2_900,
        memory_tokens: 12_000,
        rank: 2,
        sent_at: NOW,
    };
    fleet.book.sent(key, work);
    assert_eq!(free(&fleet), Some(18_000));
    fleet.book.begun(key, 1);
    fleet.load("e1", |load| load.used_tokens = 0);
    assert_eq!(free(&fleet), None, "an idle engine takes any prompt");
}
