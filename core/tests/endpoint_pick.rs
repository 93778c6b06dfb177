//! Choice of the engine for a prompt.

mod fleet_fixture;

use {
    fleet_fixture::{part, prompt, Fleet, NOW},
    pitchhitch_core::{
        serving::{
            EndpointKey, KvStoreDirectory, LatencyEstimator, PartLocation, PendingPrefill,
            ProbeOutcome, PromptInfo, SwapStage, WeightBounds,
        },
        time::Micros,
    },
};

#[test]
fn cached_parts_attract() {
    for id in ["e1", "e2", "e3"] {
        let mut fleet = Fleet::new();
        fleet.cache_parts(id);
        let choice = fleet.pick(&prompt(), &[]).expect("an endpoint");
        assert_eq!(choice.key, fleet.key(id));
        assert_eq!(choice.plan.cached_tokens, 9_100);
        assert_eq!(choice.prefill_tokens, 2_900);
    }
}

#[test]
fn busy_holder_avoided() {
    let mut fleet = Fleet::new();
    fleet.cache_parts("e1");
    fleet.load("e1", |load| load.unread = 30);
    let choice = fleet.pick(&prompt(), &[]).expect("an endpoint");
    assert_ne!(choice.key, fleet.key("e1"));
    // The other engine fetches from the busy one instead of prefilling.
    let holder = PartLocation::Engine(fleet.key("e1"));
    let sources = choice
        .plan
        .parts
        .iter()
        .filter_map(|part| part.source.as_ref());
    assert!(sources.clone().count() == 2 && sources.clone().all(|(s, _)| s.location == holder));
}

#[test]
fn silent_avoided() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    let id = fleet.registry.get(first).expect("entry").id.clone();
    fleet.load(&id, |load| load.is_silent = true);
    assert_ne!(fleet.picked(), first);
}

#[test]
fn unreported_engine_avoided() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    let entry = fleet.registry.get_mut(first).expect("entry");
    entry.load.as_mut().expect("load").at = NOW - Micros::from_millis(900);
    assert_ne!(fleet.picked(), first, "its reports have stopped");
    let entry = fleet.registry.get_mut(first).expect("entry");
    entry.answered_at = Some(NOW - Micros::from_millis(100));
    assert_eq!(fleet.picked(), first, "it still answers");
}

#[test]
fn unhealthy_as_fallback() {
    let mut fleet = Fleet::new();
    for id in ["e1", "e2", "e3"] {
        fleet.load(id, |load| load.is_silent = true);
    }
    assert!(
        fleet.pick(&prompt(), &[]).is_some(),
        "an unhealthy endpoint is better than none"
    );
}

/// Guards against prompts sent to an engine that has not answered a probe, also as the last resort.
#[test]
fn unresponsive_excluded() {
    let mut fleet = Fleet::new();
    for id in ["e1", "e2", "e3"] {
        let key = fleet.key(id);
        let contact = &mut fleet.registry.get_mut(key).expect("entry").contact;
        contact.record_sent(true, NOW - Micros::from_millis(900));
        assert!(contact.take_due_probe(true, NOW));
        contact.record_probe(ProbeOutcome::Unanswered, true, NOW);
        let picked = fleet.pick(&prompt(), &[]).map(|choice| choice.key);
        assert_ne!(picked, Some(key));
    }
    assert_eq!(fleet.pick(&prompt(), &[]), None);
    let key = fleet.key("e2");
    fleet.registry.record_heard(key, NOW);
    assert_eq!(fleet.picked(), key, "it responds again");
}

/// Guards against prompts of all fronts that leave an engine together and meet at another one, or at
/// one whose reports have just stopped as well.
#[test]
fn left_prompts_spread() {
    let mut fleet = Fleet::new();
    let left = fleet.key("e1");
    let contact = &mut fleet.registry.get_mut(left).expect("entry").contact;
    contact.record_sent(true, NOW - Micros::from_millis(900));
    assert!(contact.take_due_probe(true, NOW));
    let pick_all = |fleet: &Fleet| -> Vec<EndpointKey> {
        let picks = (0..40).map(|number| {
            let mut prompt = prompt();
            prompt.parts[2] = part(&format!("c{number}"), 2_900);
            fleet.pick(&prompt, &[left]).expect("an endpoint").key
        });
        picks.collect()
    };
    let first = pick_all(&fleet)[0];
    assert!(pick_all(&fleet).iter().all(|key| *key == first));
    let contact = &mut fleet.registry.get_mut(left).expect("entry").contact;
    contact.record_probe(ProbeOutcome::Unanswered, true, NOW);
    let at_first = pick_all(&fleet).iter().filter(|key| **key == first).count();
    assert!((10..=30).contains(&at_first), "{at_first} of 40");
    let entry = fleet.registry.get_mut(first).expect("entry");
    entry.load.as_mut().expect("load").at = NOW - Micros::from_millis(400);
    assert!(pick_all(&fleet).iter().all(|key| *key != first));
}

#[test]
fn outdated_weights_excluded() {
    let mut fleet = Fleet::new();
    fleet.bounds = WeightBounds {
        newest: Some(2),
        oldest: Some(2),
    };
    assert_eq!(fleet.pick(&prompt(), &[]), None);
    let key = fleet.key("e2");
    let entry = fleet.registry.get_mut(key).expect("entry");
    entry.weights.set_version("m", 2);
    let choice = fleet
        .pick(&prompt(), &[])
        .expect("an engine with these weights");
    assert_eq!((choice.key, choice.version), (key, Some(2)));
}

#[test]
fn draining_short_answers() {
    let mut fleet = Fleet::new();
    let first = fleet.picked();
    fleet.registry.get_mut(first).expect("entry").stage = SwapStage::Draining;
    assert_ne!(fleet.picked(), first);
    let short = PromptInfo {
        tokens_out: 4,
        ..prompt()
    };
    assert_eq!(
        fleet.pick(&short, &[]).map(|choice| choice.key),
        Some(first)
    );
    fleet.registry.get_mut(first).expect("entry").stage = SwapStage::Loading;
    assert_ne!(
        fleet.pick(&short, &[]).map(|choice| choice.key),
        Some(first)
    );
}

#[test]
fn tried_endpoints_excluded() {
    let fleet = Fleet::new();
    let all = [fleet.key("e1"), fleet.key("e2"), fleet.key("e3")];
    assert!(!all[..2].contains(
        &fleet
            .pick(&prompt(), &all[..2])
            .expect("the third engine")
            .key
    ));
    assert_eq!(fleet.pick(&prompt(), &all), None);
}

#[test]
fn store_fetch_planned() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    let choice = fleet.pick(&prompt(), &[]).expect("an endpoint");
    assert_eq!(choice.plan.fetched_tokens, 9_100);
    assert_eq!(choice.shared_prefill_tokens, 0);
}

#[test]
fn fronts_share_home() {
    // Fronts without knowledge of each other send the same uncached prompt to the same engine.
    let homes: Vec<EndpointKey> = (0..50u64)
        .map(|number| {
            let mut cold = prompt();
            cold.parts[1] = part(&format!("{:x}", number * 7_919 + 3), 8_600);
            let (one, two) = (Fleet::new(), Fleet::new());
            let key = one.pick(&cold, &[]).expect("an endpoint").key;
            assert_eq!(two.pick(&cold, &[]).map(|choice| choice.key), Some(key));
            key
        })
        .collect();
    let first = homes.iter().filter(|key| **key == homes[0]).count();
    assert!(
        first < 40,
        "{first} of 50 prompts have the same home engine"
    );
}

/// Links between engines are many times faster than those of stores. As engines report cached parts
/// at once, they are preferred to a store that others fetch from too.
#[test]
fn engine_before_store() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    fleet.cache_parts("e1");
    // The prompt must go to another engine than the one that has it cached.
    let holder = fleet.key("e1");
    let choice = fleet.pick(&prompt(), &[holder]).expect("an endpoint");
    let fetch = choice.plan.parts.iter().find(|f| f.part.tokens == 8_600);
    let (source, _) = fetch.and_then(|f| f.source.as_ref()).expect("a fetch");
    assert_eq!(source.location, PartLocation::Engine(holder));
}

/// Parts that an engine is believed to have cached may have been evicted, so the plan names a
/// source for them too. It costs nothing if no part is missing.
#[test]
fn no_needless_fetches() {
    let mut fleet = Fleet::new();
    fleet.fill_store();
    fleet.cache_parts("e1");
    let choice = fleet.pick(&prompt(), &[]).expect("an endpoint");
    assert_eq!(choice.key, fleet.key("e1"));
    assert_eq!(choice.plan.cached_tokens, 9_100);
    assert_eq!((choice.plan.fetched_tokens, choice.plan.fetch_ms), (0, 0.0));
    for plan in &choice.plan.parts {
        assert!(plan.is_cached);
        let location = plan.source.as_ref().map(|(source, _)| source.location);
        assert_eq!(location, Some(PartLocation::Store(0)));
    }
    // Parts that are not expected to be fetched add nothing to the queue of the store.
    let wait = |stores: &KvStoreDirectory| stores.views()[0].fetch_ms(0, NOW);
    let before = wait(&fleet.stores);
    fleet.stores.record_fetches(&choice.plan, NOW);
    assert_eq!(wait(&fleet.stores), before);
}

/// A report does not yet include prompts that were just sent. The memory they will use counts in
/// full, even if few of their tokens need prefill.
#[test]
fn sent_prompts_counted() {
    let mut fleet = Fleet::new();
    fleet.load("e1", |load| {
        load.total_tokens = 100_000;
        load.used_tokens = 60_000;
    });
    let key = fleet.key("e1");
    let free = |fleet: &Fleet| {
        fleet
            .registry
            .get(key)
            .and_then(|e| e.free_tokens(NOW, &LatencyEstimator::default()))
    };
    assert_eq!(
        free(&fleet),
        Some(30_000),
        "a tenth is reserved for answers"
    );
    let work = PendingPrefill {
        ticket: 1,
        tokens: 2_900,
        memory_tokens: 12_000,
        priority: 2,
        sent_at: NOW,
    };
    fleet.registry.record_sent(key, work);
    assert_eq!(free(&fleet), Some(18_000));
    fleet.registry.record_first_token(key, 1);
    fleet.load("e1", |load| load.used_tokens = 0);
    assert_eq!(free(&fleet), None, "an idle engine takes any prompt");
}

/// Prompts without cached parts prefer an engine with an open connection; cached parts outweigh the
/// connection.
#[test]
fn connected_preferred() {
    let fresh = PromptInfo {
        parts: Vec::new(),
        tokens_in: 900,
        ..prompt()
    };
    for id in ["e1", "e2", "e3"] {
        let mut fleet = Fleet::new();
        fleet.connected = Some([fleet.key(id)].into());
        let choice = fleet.pick(&fresh, &[]).expect("an endpoint");
        assert_eq!(choice.key, fleet.key(id));
        fleet.cache_parts("e2");
        assert_eq!(fleet.picked(), fleet.key("e2"));
    }
}
