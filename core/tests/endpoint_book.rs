//! Which endpoints may get requests, through lapses, returns and reused addresses.

use pitchhitch_core::{
    serving::{
        BookChange, EndpointBook, EndpointNotice, EndpointStanding, StoreEra, StorePosition,
    },
    time::Micros,
};

fn notice(
    id: &str,
    port: u16,
    is_leaving: bool,
) -> EndpointNotice {
    EndpointNotice {
        id: id.to_string(),
        service: "llm".to_string(),
        address: Some(([10, 0, 0, 1], port).into()),
        domain: "a".to_string(),
        slots: 8,
        is_leaving,
        weights: vec![("m".to_string(), 1)],
        ..EndpointNotice::default()
    }
}

fn standing(
    book: &EndpointBook,
    id: &str,
) -> Option<EndpointStanding> {
    Some(book.get(book.key(id)?)?.standing)
}

#[test]
fn leaving_stays() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    assert_eq!(
        book.take(&notice("e", 1, true)),
        Some(BookChange::Leaves("e".to_string()))
    );
    // A late reading that still shows it serving changes nothing.
    assert_eq!(book.take(&notice("e", 1, false)), None);
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Leaving));
}

/// Heartbeats that got lost look like an endpoint that left: it is asked once its
/// entry is back, and serves when it says so.
#[test]
fn returned_is_asked() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    let key = book.key("e").expect("known");
    book.gone("e", true);
    assert!(book.ask_returned(Micros::ZERO).is_empty());
    assert_eq!(book.take(&notice("e", 1, false)), None);
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Leaving));
    let questions = book.ask_returned(Micros::ZERO);
    assert_eq!(questions.iter().map(|q| q.key).collect::<Vec<_>>(), [key]);
    assert!(book.ask_returned(Micros::ZERO).is_empty(), "asked already");
    assert_eq!(book.answered_return(key, false, Micros::ZERO), None);
    assert!(book.ask_returned(Micros::ZERO).is_empty(), "a pause first");
    assert_eq!(book.ask_returned(Micros::from_secs(1)).len(), 1);
    assert_eq!(
        book.answered_return(key, true, Micros::from_secs(1)),
        Some(BookChange::Serves("e".to_string()))
    );
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Serving));
}

/// An answer that comes after the entry has gone once more proves nothing.
#[test]
fn gone_while_asked() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    let key = book.key("e").expect("known");
    book.gone("e", true);
    book.take(&notice("e", 1, false));
    book.ask_returned(Micros::ZERO);
    book.gone("e", true);
    assert_eq!(book.answered_return(key, true, Micros::ZERO), None);
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Leaving));
}

/// Who said that it leaves is not asked; a late write does not bring it back,
/// also where nothing of ours runs there any more.
#[test]
fn late_beat_no_return() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    book.take(&notice("e", 1, true));
    book.gone("e", true);
    book.prune(Micros::ZERO);
    book.prune(Micros::from_secs(6));
    assert_eq!(book.take(&notice("e", 1, false)), None);
    assert!(book.ask_returned(Micros::from_secs(6)).is_empty());
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Leaving));
}

#[test]
fn lapse_forgiven() {
    let mut book = EndpointBook::default();
    book.take(&notice("back", 1, false));
    book.take(&notice("lost", 2, false));
    assert_eq!(
        book.gone("back", false),
        Some(BookChange::Lapses("back".to_string()))
    );
    book.gone("lost", false);
    book.take(&notice("back", 1, false));
    assert_eq!(book.settle(), vec![BookChange::Leaves("lost".to_string())]);
    assert_eq!(standing(&book, "back"), Some(EndpointStanding::Serving));
    assert_eq!(standing(&book, "lost"), Some(EndpointStanding::Leaving));
}

#[test]
fn seen_leaving_binds() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, true));
    // Gone while the list cannot be trusted: it had said that it leaves.
    assert_eq!(book.gone("e", false), None);
    assert_eq!(standing(&book, "e"), Some(EndpointStanding::Leaving));
}

/// A front that starts while the store is away takes what a peer knows. One whose entry
/// had only gone was handed on as one that leaves for good, so when its entry came back the
/// new front sent it nothing for 30 seconds, while all others did after one question.
#[test]
fn away_handed_on() {
    let mut peer = EndpointBook::default();
    peer.take(&notice("away", 1, false));
    peer.gone("away", true);
    peer.take(&notice("left", 2, false));
    peer.take(&notice("left", 2, true));
    let mut book = EndpointBook::default();
    for told in peer.notices() {
        book.take(&told);
    }
    for id in ["away", "left"] {
        assert_eq!(standing(&book, id), Some(EndpointStanding::Leaving));
        assert_eq!(book.take(&notice(id, 1, false)), None);
    }
    let questions = book.ask_returned(Micros::ZERO);
    let asked: Vec<&str> = questions.iter().map(|q| q.id.as_str()).collect();
    assert_eq!(asked, ["away"]);
}

#[test]
fn whole_list_compared() {
    let mut book = EndpointBook::default();
    book.take(&notice("old", 1, false));
    let changes = book.take_all(&[notice("new", 2, false)], true);
    assert!(changes.contains(&BookChange::Serves("new".to_string())));
    assert!(changes.contains(&BookChange::Leaves("old".to_string())));
}

#[test]
fn address_reused() {
    let mut book = EndpointBook::default();
    book.take(&EndpointNotice {
        row: StorePosition {
            era: StoreEra(1),
            version: 9,
        },
        ..notice("old", 1, false)
    });
    book.gone("old", true);
    let address = ([10, 0, 0, 1], 1).into();
    assert_eq!(book.present_at(address, |_| true), book.key("old"));
    // What is on the list goes before what only may be there, whenever it was listed.
    book.take(&notice("new", 1, false));
    assert_eq!(book.present_at(address, |_| true), book.key("new"));
    book.prune(Micros::ZERO);
    book.prune(Micros::from_secs(31));
    assert_eq!(book.key("old"), None);
}

#[test]
fn busy_kept() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    let key = book.key("e").expect("known");
    let work = pitchhitch_core::serving::UnreadWork {
        ticket: 7,
        tokens: 100,
        memory_tokens: 120,
        rank: 2,
        sent_at: Micros::ZERO,
    };
    book.sent(key, work);
    book.gone("e", true);
    book.prune(Micros::ZERO);
    book.prune(Micros::from_secs(31));
    assert!(
        book.get(key).is_some(),
        "a request of ours still runs there"
    );
    book.begun(key, 7);
    assert_eq!(book.get(key).map(|e| e.unread_tokens(9)), Some(0));
    book.ended(key, 7);
    book.prune(Micros::from_secs(31));
    assert!(book.get(key).is_none());
}

#[test]
fn versions_never_back() {
    let mut book = EndpointBook::default();
    book.take(&notice("e", 1, false));
    let key = book.key("e").expect("known");
    book.get_mut(key)
        .expect("entry")
        .weights
        .set_version("m", 3);
    book.take(&notice("e", 1, false));
    assert_eq!(book.get(key).and_then(|e| e.weights.version("m")), Some(3));
}
