//! Endpoints that start again: under their id, or at an address where another one was.

use {
    pitchhitch_core::{
        serving::{
            BookChange, DigestMark, DigestOrder, EndpointBook, EndpointEntry, EndpointKey,
            EndpointLife, EndpointNotice, EndpointStanding, EngineLoad, LifeOrder, PartId,
            StoreEra, StorePosition, UnreadWork, WallTag,
        },
        time::Micros,
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

const WALL: WallTag = WallTag(1);

fn notice(
    id: &str,
    born: Option<u64>,
    is_leaving: bool,
) -> EndpointNotice {
    EndpointNotice {
        id: id.to_string(),
        service: "llm".to_string(),
        address: Some(address()),
        domain: "a".to_string(),
        slots: 8,
        is_leaving,
        weights: vec![("m".to_string(), 1)],
        born,
        ..EndpointNotice::default()
    }
}

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 1).into()
}

fn part() -> PartId {
    PartId::parse("aa").expect("hex")
}

fn restarts(id: &str) -> Option<BookChange> {
    Some(BookChange::Restarts(id.to_string()))
}

/// A book with one endpoint of which much is known.
fn known(born: Option<u64>) -> (EndpointBook, EndpointKey) {
    let mut book = EndpointBook::default();
    book.take(&notice("e", born, false));
    let key = book.key("e").expect("known");
    let entry = book.get_mut(key).expect("entry");
    entry.weights.set_version("m", 4);
    entry.parts.set(WALL, part(), 10);
    entry.is_mirrored = true;
    entry.load = Some(EngineLoad::default());
    for _ in 0..3 {
        book.judged(key, false, Micros::ZERO);
    }
    let work = UnreadWork {
        ticket: 7,
        tokens: 100,
        memory_tokens: 120,
        rank: 2,
        sent_at: Micros::ZERO,
    };
    book.sent(key, work);
    (book, key)
}

fn forgot(entry: &EndpointEntry) -> bool {
    let has_parts = entry.parts.tokens() > 0 || entry.is_mirrored;
    let is_out = entry.guard.is_out(Micros::ZERO);
    !has_parts && entry.load.is_none() && !is_out
}

#[test]
fn later_life_forgets() {
    let (mut book, key) = known(Some(5));
    assert_eq!(book.take(&notice("e", Some(6), false)), restarts("e"));
    let entry = book.get(key).expect("entry");
    assert!(forgot(entry));
    assert_eq!(entry.weights.version("m"), Some(1), "as the list says");
    assert_eq!((entry.running, entry.unread.len()), (1, 1), "ours run on");
    assert_eq!((entry.life.born, entry.life.ended), (Some(6), 1));
    assert_eq!(book.take(&notice("e", Some(6), false)), None);
    assert_eq!(book.get(key).map(|entry| entry.life.ended), Some(1));
}

#[test]
fn same_life_kept() {
    for (known_born, told) in [
        (Some(5), Some(5)),
        (Some(5), None),
        (None, Some(5)),
        (None, None),
    ] {
        let (mut book, key) = known(known_born);
        assert_eq!(book.take(&notice("e", told, false)), None);
        let entry = book.get(key).expect("entry");
        assert!(!forgot(entry));
        assert_eq!(entry.weights.version("m"), Some(4));
        assert_eq!(entry.life.born, known_born.or(told));
    }
}

/// A late write of the earlier life changes nothing, whatever it says.
#[test]
fn earlier_life_ignored() {
    let (mut book, key) = known(Some(5));
    for is_leaving in [false, true] {
        let mut late = notice("e", Some(4), is_leaving);
        late.weights = vec![("m".to_string(), 9)];
        late.row = row_at(1, 99);
        assert_eq!(book.take(&late), None);
    }
    assert_eq!(book.take_all(&[notice("e", Some(4), true)], true), []);
    let entry = book.get(key).expect("entry");
    assert_eq!(entry.weights.version("m"), Some(4));
    assert_eq!(
        (entry.standing, entry.life.row),
        (EndpointStanding::Serving, StorePosition::default())
    );
}

/// What the earlier life said of its end is over.
#[test]
fn leaver_serves_again() {
    let (mut book, key) = known(Some(5));
    book.take(&notice("e", Some(5), true));
    book.prune(Micros::ZERO);
    assert_eq!(book.take(&notice("e", Some(5), false)), None);
    assert_eq!(book.take(&notice("e", Some(6), false)), restarts("e"));
    let entry = book.get(key).expect("entry");
    assert_eq!(
        (entry.standing, entry.left_at),
        (EndpointStanding::Serving, None)
    );
    assert!(book.ask_returned(Micros::ZERO).is_empty());
    // Nor does it come back by itself where the later life leaves too.
    book.take(&notice("e", Some(7), true));
    assert_eq!(book.take(&notice("e", Some(7), false)), None);
    assert!(book.ask_returned(Micros::ZERO).is_empty());
}

#[test]
fn gone_serves_again() {
    let (mut book, _) = known(Some(5));
    book.gone("e", true);
    assert_eq!(book.take(&notice("e", Some(6), false)), restarts("e"));
}

/// A digest may tell of the later life before the list does.
#[test]
fn digest_first() {
    let (mut book, key) = known(Some(5));
    assert_eq!(
        book.hear_life(key, Some(4), Micros::ZERO),
        LifeOrder::Earlier
    );
    assert_eq!(book.hear_life(key, Some(5), Micros::ZERO), LifeOrder::Same);
    assert!(!book.get(key).is_some_and(forgot));
    assert_eq!(book.hear_life(key, Some(6), Micros::ZERO), LifeOrder::Later);
    assert!(book.get(key).is_some_and(forgot));
    assert_eq!(book.hear_life(key, None, Micros::ZERO), LifeOrder::Same);
    // The list still tells of the life that is over, and may tell of its end.
    assert_eq!(book.take(&notice("e", Some(5), true)), None);
    assert_eq!(book.take(&notice("e", Some(6), false)), None);
    let entry = book.get(key).expect("entry");
    assert_eq!(
        (entry.life.ended, entry.standing),
        (1, EndpointStanding::Serving)
    );
}

/// The list had told that the earlier life leaves; then a digest came, then its word.
#[test]
fn word_behind_digest() {
    let (mut book, key) = known(Some(5));
    book.take(&notice("e", Some(5), true));
    book.hear_life(key, Some(6), Micros::ZERO);
    assert_eq!(
        book.get(key).map(|e| e.standing),
        Some(EndpointStanding::Leaving)
    );
    let serves = Some(BookChange::Serves("e".to_string()));
    assert_eq!(book.take(&notice("e", Some(6), false)), serves);
}

#[test]
fn overtaken_by_birth() {
    let mut book = EndpointBook::default();
    book.take(&notice("b-old", Some(5), false));
    assert_eq!(book.end_overtaken(), []);
    book.take(&notice("a-new", Some(6), true));
    assert_eq!(book.end_overtaken(), [], "only one that serves ends others");
    book.take(&notice("c-new", Some(7), false));
    let left = BookChange::Leaves("b-old".to_string());
    assert_eq!(book.end_overtaken(), [left]);
    assert_eq!(book.take(&notice("b-old", Some(5), false)), None);
    assert!(book.ask_returned(Micros::ZERO).is_empty());
    assert_eq!(book.end_overtaken(), []);
    // It may have the address again in a life of its own.
    assert_eq!(
        book.take(&notice("b-old", Some(8), false)),
        restarts("b-old")
    );
}

#[test]
fn others_not_overtaken() {
    let mut book = EndpointBook::default();
    book.take(&notice("unborn", None, false));
    let mut elsewhere = notice("elsewhere", Some(5), false);
    elsewhere.address = Some(([10, 0, 0, 1], 2).into());
    book.take(&elsewhere);
    let mut other = notice("other", Some(5), false);
    other.service = "plain".to_string();
    book.take(&other);
    book.take(&notice("new", Some(6), false));
    assert_eq!(book.end_overtaken(), []);
}

#[test]
fn present_one() {
    let mut book = EndpointBook::default();
    let row = |id: &str, born: Option<u64>, version: u64| EndpointNotice {
        row: row_at(1, version),
        ..notice(id, born, false)
    };
    let present = |book: &EndpointBook| {
        let key = book.present_at(address(), |_| true);
        key.and_then(|key| Some(book.get(key)?.id.clone()))
    };
    book.take(&row("b", None, 3));
    book.take(&row("a", None, 2));
    assert_eq!(present(&book).as_deref(), Some("b"));
    book.take(&row("a", None, 4));
    assert_eq!(present(&book).as_deref(), Some("a"), "listed last");
    // A store that came back from a copy gives its versions out again.
    let again = EndpointNotice {
        row: row_at(2, 3),
        ..row("b", None, 0)
    };
    book.take(&again);
    assert_eq!(present(&book).as_deref(), Some("b"), "listed last");
    book.take(&row("c", Some(5), 1));
    assert_eq!(present(&book).as_deref(), Some("c"), "its birth is known");
    book.take(&row("d", Some(6), 0));
    assert_eq!(present(&book).as_deref(), Some("d"));
    assert_eq!(book.present_at(address(), |entry| entry.id == "x"), None);
}

fn row_at(
    era: u64,
    version: u64,
) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        version,
    }
}

fn mark(
    life: u64,
    number: u64,
    changes: u64,
) -> DigestMark {
    DigestMark {
        life,
        number,
        changes,
        at: Micros::ZERO,
    }
}

#[test]
fn digests_in_order() {
    let mut life = EndpointLife::default();
    assert_eq!(life.note_digest(mark(1, 5, 2), false), DigestOrder::Next);
    assert_eq!(
        life.note_digest(mark(1, 5, 2), false),
        DigestOrder::Overtaken
    );
    assert_eq!(life.note_digest(mark(1, 6, 3), true), DigestOrder::Next);
    // Only load was in the two that are missing.
    assert_eq!(life.note_digest(mark(1, 9, 3), false), DigestOrder::Next);
    assert_eq!(
        life.note_digest(mark(1, 8, 3), false),
        DigestOrder::Overtaken
    );
    assert_eq!(life.note_digest(mark(1, 11, 5), true), DigestOrder::Gap);
    assert_eq!(
        life.note_digest(mark(1, 10, 4), true),
        DigestOrder::Overtaken
    );
    assert_eq!(life.note_digest(mark(1, 12, 6), false), DigestOrder::Gap);
    // The sender has started again; one of its earlier life comes late.
    assert_eq!(life.note_digest(mark(2, 1, 0), false), DigestOrder::Gap);
    assert_eq!(
        life.note_digest(mark(1, 13, 6), false),
        DigestOrder::Overtaken
    );
    assert_eq!(life.note_digest(mark(2, 2, 0), false), DigestOrder::Next);
    // Its clock was set back: it is not shut out for good.
    let back = DigestMark {
        at: Micros::from_secs(2),
        ..mark(1, 1, 0)
    };
    assert_eq!(life.note_digest(back, false), DigestOrder::Gap);
}

proptest! {
    /// Lost and reordered digests: whoever has not seen all changes knows it as soon as
    /// a later digest comes.
    #[test]
    fn no_silent_gap(
        sent in proptest::collection::vec((any::<bool>(), any::<bool>(), 0..3_usize), 1..40),
    ) {
        let mut changes = 0;
        let mut digests = Vec::new();
        for (number, (is_change, is_lost, delay)) in sent.iter().enumerate() {
            changes += u64::from(*is_change);
            if !is_lost {
                digests.push((number + delay, number as u64 + 1, changes, *is_change));
            }
        }
        digests.sort_by_key(|(place, ..)| *place);
        let mut life = EndpointLife::default();
        life.note_digest(mark(1, 0, 0), false);
        let (mut seen, mut is_whole) = (0, true);
        for (_, number, changes, is_change) in digests {
            match life.note_digest(mark(1, number, changes), is_change) {
                DigestOrder::Next => seen += u64::from(is_change),
                DigestOrder::Gap => is_whole = false,
                DigestOrder::Overtaken => {}
            }
            let told = life.digest.map_or(0, |digest| digest.changes);
            prop_assert!(!is_whole || seen == told);
        }
    }
}

/// Two endpoints of a service are listed at one address: requests go to the one that was listed
/// later, and to the other one where that turns out not to be there.
#[test]
fn later_listed_present() {
    let mut book = EndpointBook::default();
    let row = |id: &str, version: u64| EndpointNotice {
        row: row_at(1, version),
        ..notice(id, None, false)
    };
    book.take_all(&[row("i-1", 5), row("i-2", 9)], true);
    book.end_overtaken();
    let overtaken = |book: &EndpointBook, id: &str| {
        let key = book.key(id).expect("known");
        book.get(key).expect("entry").is_overtaken
    };
    assert!(overtaken(&book, "i-1") && !overtaken(&book, "i-2"));
    let later = book.key("i-2").expect("known");
    book.get_mut(later).expect("entry").standing = EndpointStanding::Leaving;
    book.mark_overtaken();
    assert!(!overtaken(&book, "i-1"));
}
