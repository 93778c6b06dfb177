//! Endpoints whose entries only went: they may be there, so they may load new weights,
//! and get no requests.

use pitchhitch_core::{
    serving::{
        BookChange, EndpointBook, EndpointKey, EndpointNotice, EndpointStanding, EngineLoad,
        SwapPlanner, SwapStage,
    },
    time::Micros,
};

/// For how long requests begin on weights that are replaced.
const LIMIT: Micros = Micros::from_millis(9_500);

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn notice(place: usize) -> EndpointNotice {
    EndpointNotice {
        id: format!("e{place}"),
        service: "llm".to_string(),
        address: Some(([10, 0, 0, 1], place as u16 + 1).into()),
        weights: vec![("m".to_string(), 1)],
        ..EndpointNotice::default()
    }
}

fn hear(
    book: &mut EndpointBook,
    place: usize,
    running: u32,
    now: Micros,
) {
    let key = book.key(&format!("e{place}")).expect("known");
    book.get_mut(key).expect("entry").load = Some(EngineLoad {
        at: now,
        running,
        ..EngineLoad::default()
    });
}

/// Engines that are listed and heard.
fn book(
    count: usize,
    running: u32,
) -> EndpointBook {
    let mut book = EndpointBook::default();
    for place in 0..count {
        book.take(&notice(place));
        hear(&mut book, place, running, at(0));
    }
    book
}

fn planner() -> SwapPlanner {
    let mut planner = SwapPlanner::default();
    planner.publish("m", 2, Some(at(0)), at(0));
    planner
}

fn loading(
    book: &EndpointBook,
    planner: &SwapPlanner,
) -> Vec<EndpointKey> {
    let keys = book.iter().map(|(key, _)| key);
    keys.filter(|key| planner.stage(*key) == SwapStage::Loading)
        .collect()
}

/// Some engines never say that they leave: their entries go while it is their turn, and they
/// end. Nobody hears them any more, so their turns pass to others; nobody else loaded until
/// seven seconds were over.
#[test]
fn gone_turn_passes() {
    let mut book = book(4, 0);
    let mut planner = planner();
    planner.plan(&book, LIMIT, at(0));
    let keys = |ids: [&str; 2]| ids.map(|id| book.key(id).expect("known"));
    let (ended, others) = (keys(["e0", "e1"]), keys(["e2", "e3"]));
    assert_eq!(loading(&book, &planner), ended);
    for place in [0, 1] {
        book.gone(&format!("e{place}"), true);
    }
    for place in [2, 3] {
        hear(&mut book, place, 0, at(2_000));
    }
    planner.plan(&book, LIMIT, at(2_000));
    assert_eq!(loading(&book, &planner), others);
}

/// A turn of an engine that is heard lasts while its long runs end, also where its entry
/// went meanwhile.
#[test]
fn away_turn_lasts() {
    let mut book = book(1, 20);
    let mut planner = planner();
    planner.plan(&book, LIMIT, at(0));
    book.gone("e0", true);
    hear(&mut book, 0, 20, at(1_000));
    planner.plan(&book, LIMIT, at(1_000));
    hear(&mut book, 0, 20, at(1_700));
    assert_eq!(planner.plan(&book, LIMIT, at(1_700)).len(), 1);
}

/// As many load at once as the group's size allows; those whose entries went are of the
/// group where they are heard.
#[test]
fn away_group_size() {
    for (heard, at_once) in [(15, 3), (10, 2)] {
        let mut book = book(15, 0);
        for place in 0..15 {
            book.gone(&format!("e{place}"), true);
        }
        for place in heard..15 {
            let key = book.key(&format!("e{place}")).expect("known");
            book.get_mut(key).expect("entry").load = None;
        }
        let mut planner = planner();
        planner.plan(&book, LIMIT, at(0));
        assert_eq!(loading(&book, &planner).len(), at_once, "{heard} heard");
    }
}

/// Another box tells of an endpoint as one that is away; this one has it on the list.
#[test]
fn away_word_is_nothing() {
    let mut book = book(1, 0);
    let told = EndpointNotice {
        is_away: true,
        ..notice(0)
    };
    assert_eq!(book.take(&told), None);
    let entry = book.key("e0").and_then(|key| book.get(key));
    let entry = entry.expect("known");
    assert_eq!(entry.standing, EndpointStanding::Serving);
    assert!(entry.may_be_there());
}

/// Of two places to load in, both went to engines that get no requests, whose entries had
/// gone because they leave; those that serve waited, and got no prompts once their weights' time
/// was over.
#[test]
fn listed_go_first() {
    let mut book = book(4, 0);
    for place in [0, 1] {
        book.gone(&format!("e{place}"), true);
    }
    let mut planner = planner();
    planner.plan(&book, LIMIT, at(0));
    let listed = ["e2", "e3"].map(|id| book.key(id).expect("known"));
    assert_eq!(loading(&book, &planner), listed);
}

/// An engine that had left is told of in a later life, before the list shows that: it is there.
/// What is told of the life that ended says nothing.
#[test]
fn later_life_told() {
    let mut book = EndpointBook::default();
    let life = |born: u64| EndpointNotice {
        born: Some(born),
        ..notice(0)
    };
    book.take(&life(100));
    book.take(&EndpointNotice {
        is_leaving: true,
        ..life(100)
    });
    let away = |born: u64| EndpointNotice {
        is_away: true,
        ..life(born)
    };
    assert_eq!(book.take(&away(100)), None);
    let news = book.take(&away(200));
    assert_eq!(news, Some(BookChange::Away("e0".to_string())));
    let entry = book.key("e0").and_then(|key| book.get(key)).expect("known");
    assert!(entry.may_be_there() && !entry.is_listed());
}

/// One whose entry went is forgotten after a while, but not while it is heard.
#[test]
fn heard_not_forgotten() {
    let mut book = book(2, 0);
    for place in [0, 1] {
        book.gone(&format!("e{place}"), true);
    }
    for second in 0..60 {
        hear(&mut book, 0, 0, Micros::from_secs(second));
        book.prune(Micros::from_secs(second));
    }
    assert!(book.key("e0").is_some());
    assert!(book.key("e1").is_none());
}
