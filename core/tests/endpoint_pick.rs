//! Which engine takes a prompt.

mod pick_fleet;

use {
    pick_fleet::{part, prompt, Fleet, NOW},
    pitchhitch_core::{
        serving::{
            EndpointKey, EnginePace, MemoryMap, PartPlace, PromptAsk, SwapStage, UnreadWork,
            WeightBounds,
        },
        time::Micros,
    },
};

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
    entry.weights.set_version("m", 2);
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

/// Plain prompts of which nobody keeps anything go where a connection is open; one whose parts
/// are kept goes there all the same.
#[test]
fn linked_preferred() {
    let fresh = PromptAsk {
        parts: Vec::new(),
        tokens_in: 900,
        ..prompt()
    };
    for id in ["e1", "e2", "e3"] {
        let mut fleet = Fleet::new();
        fleet.linked = Some([fleet.key(id)].into());
        let choice = fleet.pick(&fresh, &[]).expect("somebody");
        assert_eq!(choice.key, fleet.key(id));
        fleet.keep("e2");
        assert_eq!(fleet.picked(), fleet.key("e2"));
    }
}
