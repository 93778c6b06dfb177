//! For how long a store has lived, as boxes tell each other.

mod store_fixture;

use {
    pitchhitch_core::{
        serving::{MemoryMap, StoreView, ToldLife, SAVE_DELAY},
        time::Micros,
    },
    store_fixture::{address, at, store, PORT, START},
};

fn life(
    epoch: u64,
    lasted: Micros,
) -> ToldLife {
    ToldLife {
        address: address(),
        epoch,
        lasted,
    }
}

/// Whoever is told that the life it sees has lasted for long enough saves at once, whether
/// it is told before or after its first look.
#[test]
fn told_saves_at_once() {
    let long = life(1, SAVE_DELAY + Micros(1));
    let mut before = StoreView::new(store());
    before.record_uptime(&long, START);
    assert!(!before.can_save(10, START), "it has not answered");
    before.record_answer(1, Some(1), START, START);
    assert!(before.can_save(10, START));
    let mut after = StoreView::new(store());
    after.record_answer(1, Some(1), START, START);
    assert!(!after.can_save(10, START));
    after.record_uptime(&long, START);
    assert!(after.can_save(10, START));
}

/// What is told of another life proves nothing: a box that is behind knows the one before,
/// and a store that restarts must be waited for again.
#[test]
fn other_life_proves_nothing() {
    let hours = Micros::from_secs(7_200);
    let mut view = StoreView::new(store());
    view.record_uptime(&life(1, hours), START);
    view.record_answer(2, Some(1), START, START);
    assert!(!view.can_save(10, START));
    view.record_uptime(&life(2, hours), START);
    view.record_uptime(&life(1, hours + hours), START);
    assert!(
        view.can_save(10, START),
        "the one that is behind changes nothing"
    );
    view.record_answer(3, Some(1), START, START);
    assert!(!view.can_save(10, START));
    let waited = START + SAVE_DELAY + Micros(1);
    view.record_answer(3, Some(1), waited, waited);
    assert!(view.can_save(10, waited));
}

/// The greater of two least ages counts, and both count on.
#[test]
fn greatest_counts() {
    let mut view = StoreView::new(store());
    view.record_answer(1, Some(1), START, START);
    view.record_uptime(&life(1, at(900)), START);
    view.record_uptime(&life(1, at(300)), START + at(100));
    let later = START + at(500);
    assert_eq!(view.uptime(later), Some(life(1, at(1_400))));
    view.record_uptime(&life(1, at(1_500)), later);
    assert_eq!(view.uptime(later + at(50)), Some(life(1, at(1_550))));
}

#[test]
fn lives_by_address() {
    let mut map = MemoryMap::default();
    map.set_stores(&[store()]);
    let hours = Micros::from_secs(7_200);
    map.tell_life(&life(1, hours), START);
    assert_eq!(map.lives(START), Vec::new(), "it has not answered here");
    let other = ToldLife {
        address: ([10, 9, 0, 2], PORT).into(),
        ..life(2, hours)
    };
    map.tell_life(&other, START);
    let view = map.view_mut(address()).expect("view");
    view.record_answer(1, Some(1), START, START);
    assert_eq!(map.lives(START + at(5)), vec![life(1, hours + at(5))]);
}
