//! Uptimes of a store that boxes report to each other.

mod store_fixture;

use {
    pitchhitch_core::{
        serving::{KvStoreDirectory, KvStoreUptime, KvStoreView, SAVE_DELAY},
        time::Micros,
    },
    store_fixture::{address, at, store, PORT, START},
};

fn uptime(
    epoch: u64,
    lasted: Micros,
) -> KvStoreUptime {
    KvStoreUptime {
        address: address(),
        epoch,
        lasted,
    }
}

/// A box that learns that the store's current epoch has been up for long enough saves at once,
/// whether the report arrives before or after its first poll.
#[test]
fn reported_uptime_saves_at_once() {
    let long = uptime(1, SAVE_DELAY + Micros(1));
    let mut before = KvStoreView::new(store());
    before.record_uptime(&long, START);
    assert!(!before.can_save(10, START), "it has not answered");
    before.record_response(1, Some(1), START, START);
    assert!(before.can_save(10, START));
    let mut after = KvStoreView::new(store());
    after.record_response(1, Some(1), START, START);
    assert!(!after.can_save(10, START));
    after.record_uptime(&long, START);
    assert!(after.can_save(10, START));
}

/// A report of another epoch proves nothing: a box that lags behind reports the previous one, and a
/// store that restarts must be waited for again.
#[test]
fn other_epoch_proves_nothing() {
    let hours = Micros::from_secs(7_200);
    let mut view = KvStoreView::new(store());
    view.record_uptime(&uptime(1, hours), START);
    view.record_response(2, Some(1), START, START);
    assert!(!view.can_save(10, START));
    view.record_uptime(&uptime(2, hours), START);
    view.record_uptime(&uptime(1, hours + hours), START);
    assert!(
        view.can_save(10, START),
        "the report of the previous epoch changes nothing"
    );
    view.record_response(3, Some(1), START, START);
    assert!(!view.can_save(10, START));
    let waited = START + SAVE_DELAY + Micros(1);
    view.record_response(3, Some(1), waited, waited);
    assert!(view.can_save(10, waited));
}

/// The greater of two minimum uptimes counts, and both continue to grow.
#[test]
fn greatest_counts() {
    let mut view = KvStoreView::new(store());
    view.record_response(1, Some(1), START, START);
    view.record_uptime(&uptime(1, at(900)), START);
    view.record_uptime(&uptime(1, at(300)), START + at(100));
    let later = START + at(500);
    assert_eq!(view.uptime(later), Some(uptime(1, at(1_400))));
    view.record_uptime(&uptime(1, at(1_500)), later);
    assert_eq!(view.uptime(later + at(50)), Some(uptime(1, at(1_550))));
}

#[test]
fn uptimes_by_address() {
    let mut directory = KvStoreDirectory::default();
    directory.set_stores(&[store()]);
    let hours = Micros::from_secs(7_200);
    directory.record_uptime(&uptime(1, hours), START);
    assert_eq!(
        directory.store_uptimes(START),
        Vec::new(),
        "it has not answered here"
    );
    let other = KvStoreUptime {
        address: ([10, 9, 0, 2], PORT).into(),
        ..uptime(2, hours)
    };
    directory.record_uptime(&other, START);
    let view = directory.view_mut(address()).expect("view");
    view.record_response(1, Some(1), START, START);
    assert_eq!(
        directory.store_uptimes(START + at(5)),
        vec![uptime(1, hours + at(5))]
    );
}
