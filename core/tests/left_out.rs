//! Mechanisms of choice and moves that are left out: each changes the decision that it
//! names.

use {
    pitchhitch_core::{
        serving::{
            pick_endpoint, EndpointBook, EndpointChoice, EndpointKey, EndpointNotice, EngineGroup,
            EngineLoad, EnginePace, KvStore, MechanismSet, MemoryMap, PartId, PickAsk, PromptAsk,
            PromptPart, ServingMechanism, VersionOutlook, WallTag, WeightBounds, SAVE_DELAY,
        },
        time::Micros,
    },
    std::collections::BTreeSet,
};

const NOW: Micros = Micros::from_secs(100);
const WALL: WallTag = WallTag(1);
const IDS: [&str; 3] = ["e1", "e2", "e3"];
const MEMORY: u64 = 179_000;

fn without(mechanism: ServingMechanism) -> MechanismSet {
    MechanismSet::of([mechanism])
}

fn part(
    number: u64,
    tokens: u32,
) -> PromptPart {
    let id = PartId::parse(&format!("{number:x}")).expect("hex");
    PromptPart { id, tokens }
}

/// A prompt whose largest shared part has this number.
fn prompt(number: u64) -> PromptAsk {
    PromptAsk {
        model: "m".to_string(),
        tokens_in: 12_000,
        tokens_out: 64,
        parts: vec![part(1, 500), part(number, 8_600), part(2, 2_900)],
    }
}

struct Fleet {
    book: EndpointBook,
}

impl Fleet {
    fn new() -> Self {
        let mut book = EndpointBook::default();
        for (place, id) in IDS.iter().enumerate() {
            book.take(&EndpointNotice {
                id: id.to_string(),
                service: "llm".to_string(),
                address: Some(([10, 0, 0, place as u8 + 1], 80).into()),
                domain: "a".to_string(),
                slots: 128,
                weights: vec![("m".to_string(), 1)],
                ..EndpointNotice::default()
            });
            let entry = book.key(id).and_then(|key| book.get_mut(key));
            entry.expect("entry").load = Some(EngineLoad {
                at: NOW,
                total_tokens: MEMORY,
                ..EngineLoad::default()
            });
        }
        Fleet { book }
    }

    fn pick(
        &self,
        prompt: &PromptAsk,
        tried: &[EndpointKey],
        left_out: MechanismSet,
    ) -> EndpointChoice {
        let memory = MemoryMap::without(left_out);
        let group = EngineGroup {
            slots: 128,
            capacity_tokens: MEMORY,
            token_bytes: 35_136,
            link_mbps: 1_100_000.0,
            models: vec!["m".to_string()],
        };
        let outlooks = [VersionOutlook {
            version: 1,
            wall: WALL,
            parts: memory.outlook(&self.book, &group, WALL, &prompt.parts, NOW),
        }];
        let ask = PickAsk {
            trial: None,
            may_take: &|_| true,
            is_linked: &|_| true,
            pace: &EnginePace::starting_at(1.0 / 97.0),
            weights: WeightBounds::default(),
            left_out,
            service: "llm",
            domain: "a",
            prompt: Some(prompt),
            rank: 2,
            tried,
            now: NOW,
        };
        pick_endpoint(&self.book, &ask, &outlooks).expect("somebody")
    }

    fn all_on(
        &self,
        number: u64,
    ) -> EndpointKey {
        let none = MechanismSet::default();
        self.pick(&prompt(number), &[], none).key
    }

    /// The engine that takes a prompt without a mechanism.
    fn lacking(
        &self,
        number: u64,
        mechanism: ServingMechanism,
    ) -> EndpointKey {
        self.pick(&prompt(number), &[], without(mechanism)).key
    }

    fn keep(
        &mut self,
        key: EndpointKey,
    ) {
        let entry = self.book.get_mut(key).expect("entry");
        entry.parts.touch(WALL, &prompt(3).parts, MEMORY);
    }
}

#[test]
fn kept_parts() {
    let mut fleet = Fleet::new();
    let home = fleet.all_on(3);
    let other = IDS.iter().filter_map(|id| fleet.book.key(id));
    let holder = other.into_iter().find(|key| *key != home).expect("another");
    fleet.keep(holder);
    assert_eq!(fleet.all_on(3), holder);
    assert_eq!(fleet.lacking(3, ServingMechanism::Affinity), home);
}

#[test]
fn homes_spread() {
    let fleet = Fleet::new();
    let homes = (3..40).map(|number| fleet.all_on(number));
    let spread: BTreeSet<EndpointKey> = homes.collect();
    assert_eq!(spread.len(), IDS.len());
    let lacking = (3..40).map(|number| fleet.lacking(number, ServingMechanism::Home));
    let same: BTreeSet<EndpointKey> = lacking.collect();
    assert_eq!(same.len(), 1);
}

#[test]
fn parts_fetched() {
    let mut fleet = Fleet::new();
    let keeper = fleet.all_on(3);
    fleet.keep(keeper);
    let fetched = |left_out| {
        let choice = fleet.pick(&prompt(3), &[keeper], left_out);
        (choice.plan.fetched_tokens, choice.unread_tokens)
    };
    assert_eq!(fetched(MechanismSet::default()), (9_100, 2_900));
    let lacking = without(ServingMechanism::Fetches);
    assert_eq!(fetched(lacking), (0, 12_000));
}

#[test]
fn parts_saved() {
    let store = KvStore {
        name: "s".to_string(),
        address: ([10, 9, 0, 1], 80).into(),
        domain: "a".to_string(),
        capacity_tokens: 1_000_000,
        link_mbps: 130_000.0,
        first_ms: 6.0,
        is_managed: true,
        held_calls: 12,
    };
    let saved = |left_out| {
        let mut memory = MemoryMap::without(left_out);
        memory.set_stores(std::slice::from_ref(&store));
        let later = NOW + SAVE_DELAY + Micros(1);
        let view = memory.view_mut(store.address).expect("view");
        view.record_answer(1, Some(1), NOW, NOW);
        view.record_answer(1, Some(1), later, later);
        let saves = memory.plan_saves(WALL, &prompt(3).parts, &|_| true, later);
        saves.into_iter().flatten().count()
    };
    assert_eq!(saved(MechanismSet::default()), 2);
    assert_eq!(saved(without(ServingMechanism::Stores)), 0);
}

#[test]
fn failing_endpoint() {
    let mut fleet = Fleet::new();
    let first = fleet.all_on(3);
    for _ in 0..3 {
        fleet.book.judged(first, false, NOW);
    }
    assert_ne!(fleet.all_on(3), first);
    assert_eq!(fleet.lacking(3, ServingMechanism::OutlierGuard), first);
    assert_ne!(fleet.lacking(3, ServingMechanism::Suspicion), first);
}

#[test]
fn reports_stopped() {
    let mut fleet = Fleet::new();
    let first = fleet.all_on(3);
    let entry = fleet.book.get_mut(first).expect("entry");
    entry.load.as_mut().expect("load").at = NOW - Micros::from_millis(900);
    assert_ne!(fleet.all_on(3), first);
    assert_eq!(fleet.lacking(3, ServingMechanism::Suspicion), first);
    assert_ne!(fleet.lacking(3, ServingMechanism::OutlierGuard), first);
}

#[test]
fn names_apart() {
    for mechanism in ServingMechanism::ALL {
        assert_eq!(ServingMechanism::named(mechanism.name()), Ok(mechanism));
        let set = without(mechanism);
        assert_eq!(set.names(), mechanism.name());
        let others = ServingMechanism::ALL.into_iter();
        assert_eq!(others.filter(|other| set.has(*other)).count(), 1);
    }
    let unknown = ServingMechanism::named("no-such").expect_err("none has it");
    assert!(unknown.contains("no-such: name one of admission, "));
}
