//! What is known of stores of kept parts, and how long it may be gone by.

use pitchhitch_core::{
    serving::{
        move_ms, CacheNamespace, KvStore, NamespaceTag, PartId, PromptPart, StoreDirectory,
        StoreView, SAVE_AFTER, VIEW_LIFE,
    },
    time::Micros,
};

const WALL: NamespaceTag = NamespaceTag(1);
const START: Micros = Micros::from_secs(10);

fn store(
    port: u16,
    capacity_tokens: u64,
) -> KvStore {
    KvStore {
        name: format!("s{port}"),
        address: ([10, 9, 0, 1], port).into(),
        domain: "a".to_string(),
        capacity_tokens,
        link_mbps: 130_000.0,
        first_ms: 6.0,
        is_managed: true,
        max_pending_calls: 12,
    }
}

fn part(
    id: &str,
    tokens: u32,
) -> PromptPart {
    let id = PartId::parse(id).expect("hex");
    PromptPart { id, tokens }
}

#[test]
fn old_view_unused() {
    let mut view = StoreView::new(store(1, 1_000));
    assert_eq!(view.fetch_until_ms(START), None);
    view.answered(1, Some(50_000), START, START);
    let until = view.fetch_until_ms(START + Micros::from_millis(500));
    assert_eq!(until, Some(50_000 + VIEW_LIFE.as_millis()));
    assert_eq!(view.fetch_until_ms(START + VIEW_LIFE), None);
}

/// A view is stale where the last answer is too old, not where the store has told
/// no clock: whoever asks at once for that would never stop.
#[test]
fn age_makes_stale() {
    let mut view = StoreView::new(store(1, 1_000));
    assert!(!view.is_stale(START), "nothing is known yet");
    view.answered(1, None, START, START);
    assert_eq!(view.fetch_until_ms(START), None);
    assert!(!view.is_stale(START + Micros::from_millis(100)));
    assert!(view.is_stale(START + VIEW_LIFE));
    view.lost();
    assert!(!view.is_stale(START + VIEW_LIFE), "it does not answer");
}

#[test]
fn lost_store_unused() {
    let mut view = StoreView::new(store(1, 1_000));
    view.answered(1, Some(50_000), START, START);
    view.lost();
    assert_eq!(view.fetch_until_ms(START), None);
}

#[test]
fn restart_empties() {
    let mut view = StoreView::new(store(1, 1_000));
    assert!(view.answered(1, Some(1), START, START));
    let id = part("aa", 100).id;
    view.set(WALL, id, 100);
    assert!(!view.answered(1, Some(2), START, START));
    assert_eq!(view.parts.cached_tokens(WALL, id), 100);
    assert!(view.answered(2, Some(3), START, START));
    assert_eq!(view.parts.cached_tokens(WALL, id), 0);
}

/// Between a restart and the end of every older view nothing is saved: a part
/// that is being written must not be fetched by a box that takes it for whole.
#[test]
fn saves_wait_out_views() {
    assert!(SAVE_AFTER > VIEW_LIFE);
    let mut view = StoreView::new(store(1, 1_000));
    view.answered(1, Some(1), START, START);
    assert!(!view.takes(10, START + VIEW_LIFE));
    let later = START + SAVE_AFTER + Micros(1);
    view.answered(1, Some(1), later, later);
    assert!(view.takes(10, later));
    view.answered(2, Some(1), later, later);
    assert!(!view.takes(10, later));
}

#[test]
fn full_store_refuses() {
    let mut view = StoreView::new(store(1, 1_000));
    view.answered(1, Some(1), START, START);
    let later = START + SAVE_AFTER + Micros(1);
    view.answered(1, Some(1), later, later);
    view.set(WALL, part("aa", 1).id, 900);
    assert!(view.takes(60, later) && !view.takes(61, later));
    view.saving(WALL, part("bb", 1).id, 50, later);
    assert!(!view.takes(60, later), "what is on its way counts");
    view.set(WALL, part("bb", 1).id, 50);
    assert!(view.takes(10, later) && !view.takes(11, later));
}

#[test]
fn saved_once() {
    let mut map = StoreDirectory::default();
    map.set_stores(&[store(1, 100_000), store(2, 100_000)]);
    for address in [store(1, 0).address, store(2, 0).address] {
        map.view_mut(address)
            .expect("view")
            .answered(1, Some(1), START, START);
    }
    let later = START + SAVE_AFTER + Micros(1);
    for address in [store(1, 0).address, store(2, 0).address] {
        map.view_mut(address)
            .expect("view")
            .answered(1, Some(1), later, later);
    }
    let parts = [part("aa", 500), part("bb", 8_000), part("cc", 900)];
    let saves = map.plan_saves(WALL, &parts, &|_| true, later);
    assert_eq!(saves.len(), 2, "the last part never comes back");
    assert!(saves.iter().all(Option::is_some));
    let again = map.plan_saves(WALL, &parts, &|_| true, later);
    assert!(again.iter().all(Option::is_none), "it is on its way");
}

/// Parts return all the time, and links, not room, end what stores can give: most go
/// to the quick store while it has room. Of the time that the links take for one
/// fetch of each, the slow one has less than two thirds.
#[test]
fn quick_links_first() {
    let quick = KvStore {
        link_mbps: 71_000.0,
        ..store(1, 700_000)
    };
    let slow = KvStore {
        link_mbps: 28_000.0,
        ..store(2, 7_000_000)
    };
    let mut map = StoreDirectory::default();
    map.set_stores(&[quick.clone(), slow.clone()]);
    let later = START + SAVE_AFTER + Micros(1);
    for at in [START, later] {
        for store in [&quick, &slow] {
            let view = map.view_mut(store.address).expect("view");
            view.answered(1, Some(1), at, at);
        }
    }
    let mut link_ms = [0.0, 0.0];
    let mut saved_quick = 0;
    for number in 0..90 {
        let parts = [part(&format!("{number:x}"), 9_000), part("ffff", 100)];
        let saves = map.plan_saves(WALL, &parts, &|_| true, later);
        let address = saves[0].expect("there is room");
        let place = usize::from(address == slow.address);
        saved_quick += 1 - place;
        link_ms[place] += move_ms(9_000 * 18_432, [&quick, &slow][place].link_mbps);
    }
    assert!(saved_quick > 50, "{saved_quick} of 90 at the quick store");
    assert!(link_ms[1] < 2.0 * link_ms[0], "{link_ms:?}");
}

#[test]
fn known_content_kept() {
    let mut map = StoreDirectory::default();
    map.set_stores(&[store(1, 1_000)]);
    let id = part("aa", 1).id;
    map.view_mut(store(1, 0).address)
        .expect("view")
        .set(WALL, id, 9);
    map.set_stores(&[store(2, 1_000), store(1, 2_000)]);
    let view = map.view_mut(store(1, 0).address).expect("view");
    assert_eq!(view.parts.cached_tokens(WALL, id), 9);
    assert_eq!(view.store.capacity_tokens, 2_000);
}

#[test]
fn walls_apart() {
    let wall = |version, organisation: Option<&str>| CacheNamespace {
        version,
        model: "m/1".to_string(),
        organisation: organisation.map(str::to_string),
    };
    let names = [
        wall(1, None),
        wall(2, None),
        wall(1, Some("farm")),
        wall(1, Some("shop")),
    ];
    for (place, name) in names.iter().enumerate() {
        for other in &names[place + 1..] {
            assert_ne!(name.tag(), other.tag());
        }
    }
    let plain = CacheNamespace {
        model: "m".to_string(),
        ..wall(7, Some("farm"))
    };
    assert_eq!(CacheNamespace::parse(&plain.salt()), Some(plain));
    assert_eq!(CacheNamespace::parse("9c41d07be2a35f68"), None);
}

/// Few fronts are told of changes at once. Many take half of the calls that a
/// store holds, and still ask often enough for what they know to live.
#[test]
fn held_calls_suffice() {
    for fronts in 1..400 {
        let store = store(1, 1_000);
        let plan = store.poll_plan(fronts);
        let cycle = plan.wait + plan.pause;
        let held = f64::from(fronts) * plan.wait.0 as f64 / cycle.0 as f64;
        let half = f64::from(store.max_pending_calls) / 2.0;
        assert!(fronts > 30 || held <= half, "{fronts}: {held}");
        assert!(cycle.0 * 2 <= VIEW_LIFE.0, "{fronts}: {cycle:?}");
    }
}

#[test]
fn few_fronts_ask_often() {
    let few = store(1, 1_000).poll_plan(8);
    let many = store(1, 1_000).poll_plan(30);
    assert!(few.pause < many.pause);
    assert!(few.wait > many.wait);
}
