//! Three engines and a store to pick among, for tests.

use {
    pitchhitch_core::{
        serving::{
            pick_endpoint, EndpointBook, EndpointChoice, EndpointKey, EndpointNotice, EngineGroup,
            EngineLoad, EnginePace, KvStore, MechanismSet, MemoryMap, PartId, PickAsk, PromptAsk,
            PromptPart, VersionOutlook, WallTag, WeightBounds,
        },
        time::Micros,
    },
    std::collections::BTreeSet,
};

pub const NOW: Micros = Micros::from_secs(100);
const WALL: WallTag = WallTag(1);

pub struct Fleet {
    pub book: EndpointBook,
    pub memory: MemoryMap,
    pub bounds: WeightBounds,
    /// Engines to which a connection is open.
    pub linked: Option<BTreeSet<EndpointKey>>,
}

pub fn part(
    id: &str,
    tokens: u32,
) -> PromptPart {
    let id = PartId::parse(id).expect("hex");
    PromptPart { id, tokens }
}

pub fn prompt() -> PromptAsk {
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
    pub fn new() -> Self {
        let mut fleet = Fleet {
            book: EndpointBook::default(),
            memory: MemoryMap::default(),
            bounds: WeightBounds::default(),
            linked: None,
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

    pub fn key(
        &self,
        id: &str,
    ) -> EndpointKey {
        self.book.key(id).expect("known")
    }

    pub fn load(
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

    pub fn keep(
        &mut self,
        id: &str,
    ) {
        let key = self.key(id);
        let entry = self.book.get_mut(key).expect("entry");
        entry.parts.touch(WALL, &prompt().parts, 179_000);
    }

    /// Adds a slow store that keeps the shared parts.
    pub fn fill_store(&mut self) {
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
        view.record_answer(5, Some(1_000), NOW, NOW);
        for shared in &prompt().parts[..2] {
            view.set_part(WALL, shared.id, shared.tokens);
        }
    }

    pub fn pick(
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
            trial: None,
            may_take: &|_| true,
            is_linked: &|key| {
                self.linked
                    .as_ref()
                    .is_none_or(|linked| linked.contains(&key))
            },
            pace: &EnginePace::starting_at(1.0 / 97.0),
            left_out: MechanismSet::default(),
            weights: self.bounds,
            service: "llm",
            domain: "a",
            prompt: Some(prompt),
            rank: 2,
            tried,
            now: NOW,
        };
        pick_endpoint(&self.book, &ask, &outlooks)
    }

    pub fn picked(&self) -> EndpointKey {
        self.pick(&prompt(), &[]).expect("somebody").key
    }
}
