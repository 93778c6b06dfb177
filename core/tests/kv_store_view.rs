//! Views of KV stores, and how long they may be used.

use pitchhitch_core::{
    serving::{
        transfer_ms, CacheNamespace, KvStore, KvStoreDirectory, KvStoreView, NamespaceTag, PartId,
        PromptPart, SAVE_DELAY, VIEW_TTL,
    },
    time::Micros,
};

const NAMESPACE: NamespaceTag = NamespaceTag(1);
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
    let mut view = KvStoreView::new(store(1, 1_000));
    assert_eq!(view.fetch_until_ms(START), None);
    view.record_response(1, Some(50_000), START, START);
    let until = view.fetch_until_ms(START + Micros::from_millis(500));
    assert_eq!(until, Some(50_000 + VIEW_TTL.as_millis()));
    assert_eq!(view.fetch_until_ms(START + VIEW_TTL), None);
}

/// A view is stale if the last response is too old, not if the store has reported no clock: a box
/// that polls at once for a missing clock would never stop.
#[test]
fn age_makes_stale() {
    let mut view = KvStoreView::new(store(1, 1_000));
    assert!(!view.is_stale(START), "nothing is known yet");
    view.record_response(1, None, START, START);
    assert_eq!(view.fetch_until_ms(START), None);
    assert!(!view.is_stale(START + Micros::from_millis(100)));
    assert!(view.is_stale(START + VIEW_TTL));
    view.mark_unreachable();
    assert!(!view.is_stale(START + VIEW_TTL), "it does not answer");
}

#[test]
fn unreachable_store_unused() {
    let mut view = KvStoreView::new(store(1, 1_000));
    view.record_response(1, Some(50_000), START, START);
    view.mark_unreachable();
    assert_eq!(view.fetch_until_ms(START), None);
}

#[test]
fn restart_clears_view() {
    let mut view = KvStoreView::new(store(1, 1_000));
    assert!(view.record_response(1, Some(1), START, START));
    let id = part("aa", 100).id;
    view.set_part(NAMESPACE, id, 100);
    assert!(!view.record_response(1, Some(2), START, START));
    assert_eq!(view.parts.cached_tokens(NAMESPACE, id), 100);
    assert!(view.record_response(2, Some(3), START, START));
    assert_eq!(view.parts.cached_tokens(NAMESPACE, id), 0);
}

/// Nothing is saved between a restart and the expiry of every older view: a part that is being
/// written must not be fetched by a box that assumes that it is complete.
#[test]
fn saves_await_expiry() {
    assert!(SAVE_DELAY > VIEW_TTL);
    let mut view = KvStoreView::new(store(1, 1_000));
    view.record_response(1, Some(1), START, START);
    assert!(!view.can_save(10, START + VIEW_TTL));
    let later = START + SAVE_DELAY + Micros(1);
    view.record_response(1, Some(1), later, later);
    assert!(view.can_save(10, later));
    view.record_response(2, Some(1), later, later);
    assert!(!view.can_save(10, later));
}

#[test]
fn capacity_limits_saves() {
    let mut view = KvStoreView::new(store(1, 1_000));
    view.record_response(1, Some(1), START, START);
    let later = START + SAVE_DELAY + Micros(1);
    view.record_response(1, Some(1), later, later);
    view.set_part(NAMESPACE, part("aa", 1).id, 900);
    assert!(view.can_save(60, later) && !view.can_save(61, later));
    view.record_save(NAMESPACE, part("bb", 1).id, 50, later);
    assert!(!view.can_save(60, later), "pending saves count");
    view.set_part(NAMESPACE, part("bb", 1).id, 50);
    assert!(view.can_save(10, later) && !view.can_save(11, later));
}

#[test]
fn saved_once() {
    let mut directory = KvStoreDirectory::default();
    directory.set_stores(&[store(1, 100_000), store(2, 100_000)]);
    for address in [store(1, 0).address, store(2, 0).address] {
        directory
            .view_mut(address)
            .expect("view")
            .record_response(1, Some(1), START, START);
    }
    let later = START + SAVE_DELAY + Micros(1);
    for address in [store(1, 0).address, store(2, 0).address] {
        directory
            .view_mut(address)
            .expect("view")
            .record_response(1, Some(1), later, later);
    }
    let parts = [part("aa", 500), part("bb", 8_000), part("cc", 900)];
    let saves = directory.plan_saves(NAMESPACE, &parts, &|_| true, later);
    assert_eq!(saves.len(), 2, "the last part is never reused");
    assert!(saves.iter().all(Option::is_some));
    let again = directory.plan_saves(NAMESPACE, &parts, &|_| true, later);
    assert!(again.iter().all(Option::is_none), "the save is pending");
}

/// Parts are reused all the time, and links rather than capacity limit what stores can deliver:
/// most parts go to the fast store while it has space. Of the link time for one fetch of each
/// part, the slow store takes less than two thirds.
#[test]
fn fast_links_preferred() {
    let fast = KvStore {
        link_mbps: 71_000.0,
        ..store(1, 700_000)
    };
    let slow = KvStore {
        link_mbps: 28_000.0,
        ..store(2, 7_000_000)
    };
    let mut directory = KvStoreDirectory::default();
    directory.set_stores(&[fast.clone(), slow.clone()]);
    let later = START + SAVE_DELAY + Micros(1);
    for at in [START, later] {
        for store in [&fast, &slow] {
            let view = directory.view_mut(store.address).expect("view");
            view.record_response(1, Some(1), at, at);
        }
    }
    let mut link_ms = [0.0, 0.0];
    let mut saved_fast = 0;
    for number in 0..90 {
        let parts = [part(&format!("{number:x}"), 9_000), part("ffff", 100)];
        let saves = directory.plan_saves(NAMESPACE, &parts, &|_| true, later);
        let address = saves[0].expect("there is space");
        let index = usize::from(address == slow.address);
        saved_fast += 1 - index;
        link_ms[index] += transfer_ms(9_000 * 18_432, [&fast, &slow][index].link_mbps);
    }
    assert!(saved_fast > 50, "{saved_fast} of 90 at the fast store");
    assert!(link_ms[1] < 2.0 * link_ms[0], "{link_ms:?}");
}

#[test]
fn known_content_kept() {
    let mut directory = KvStoreDirectory::default();
    directory.set_stores(&[store(1, 1_000)]);
    let id = part("aa", 1).id;
    directory
        .view_mut(store(1, 0).address)
        .expect("view")
        .set_part(NAMESPACE, id, 9);
    directory.set_stores(&[store(2, 1_000), store(1, 2_000)]);
    let view = directory.view_mut(store(1, 0).address).expect("view");
    assert_eq!(view.parts.cached_tokens(NAMESPACE, id), 9);
    assert_eq!(view.store.capacity_tokens, 2_000);
}

#[test]
fn namespaces_distinct() {
    let namespace = |version, organisation: Option<&str>| CacheNamespace {
        version,
        model: "m/1".to_string(),
        organisation: organisation.map(str::to_string),
        group: 0,
    };
    let namespaces = [
        namespace(1, None),
        namespace(2, None),
        namespace(1, Some("farm")),
        namespace(1, Some("shop")),
        CacheNamespace {
            group: 7,
            ..namespace(1, None)
        },
    ];
    for (index, one) in namespaces.iter().enumerate() {
        for other in &namespaces[index + 1..] {
            assert_ne!(one.tag(), other.tag());
        }
    }
    let plain = CacheNamespace {
        model: "m".to_string(),
        ..namespace(7, Some("farm"))
    };
    assert_eq!(CacheNamespace::parse(&plain.salt()), Some(plain));
    let shared = CacheNamespace {
        model: "m".to_string(),
        group: 0x9c41_d07b,
        ..namespace(7, None)
    };
    assert_eq!(CacheNamespace::parse(&shared.salt()), Some(shared));
    assert_eq!(CacheNamespace::parse("9c41d07be2a35f68"), None);
}

/// Many fronts together use at most half of the pending calls that a store accepts, and still poll
/// often enough for their views to stay valid.
#[test]
fn pending_calls_suffice() {
    for fronts in 1..400 {
        let store = store(1, 1_000);
        let plan = store.poll_plan(fronts);
        let cycle = plan.wait + plan.pause;
        let held = f64::from(fronts) * plan.wait.0 as f64 / cycle.0 as f64;
        let half = f64::from(store.max_pending_calls) / 2.0;
        assert!(fronts > 30 || held <= half, "{fronts}: {held}");
        assert!(cycle.0 * 2 <= VIEW_TTL.0, "{fronts}: {cycle:?}");
    }
}

/// With few fronts, each learns of changes sooner.
#[test]
fn small_fleet_polls() {
    let few = store(1, 1_000).poll_plan(8);
    let many = store(1, 1_000).poll_plan(30);
    assert!(few.pause < many.pause);
    assert!(few.wait > many.wait);
}

/// Guards against a store that gets no more saves once requested ones that never came fill it.
#[test]
fn lost_saves_expire() {
    let mut directory = KvStoreDirectory::default();
    directory.set_stores(&[store(1, 1_000)]);
    let poll = |directory: &mut KvStoreDirectory, now| {
        let view = directory.view_mut(store(1, 0).address).expect("view");
        view.record_response(1, Some(1), now, now);
    };
    let plan = |directory: &mut KvStoreDirectory, id, now| {
        let parts = [part(id, 900), part("ff", 1)];
        directory.plan_saves(NAMESPACE, &parts, &|_| true, now)[0].is_some()
    };
    poll(&mut directory, START);
    let later = START + SAVE_DELAY + Micros(1);
    poll(&mut directory, later);
    assert!(plan(&mut directory, "aa", later) && !plan(&mut directory, "bb", later));
    let later = later + Micros::from_secs(4);
    poll(&mut directory, later);
    assert!(plan(&mut directory, "bb", later));
}
