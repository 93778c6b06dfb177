//! Reads of the platform store by several fronts, as reported to one of them.

use {
    pitchhitch_core::{
        serving::{
            digest_pause, even_mix, even_number, greeting_pause, EraNews, EraWatch, KeyPolicy,
            KeyTrust, ProofBook, ProvenTable, ReaderTier, StoreEra, StorePosition, StoreProof,
            TableMark, WRITE_AGAIN,
        },
        time::Micros,
    },
    proptest::prelude::*,
    std::cmp::Ordering,
};

const MARK: u32 = 7;

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn proof(
    source: u32,
    mark: u32,
) -> StoreProof {
    StoreProof {
        table: ProvenTable::Operator,
        mark,
        source,
        age: Micros::ZERO,
    }
}

fn position(
    era: u64,
    version: u64,
) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        version,
    }
}

/// A single front, or a single reporting process, may be wrong, paused or out of date.
#[test]
fn two_witnesses() {
    let mut book = ProofBook::default();
    book.hear(&proof(1, MARK), 10, at(500));
    book.hear(&proof(1, MARK), 11, at(600));
    assert_eq!(book.witnessed(MARK), None, "one front, two reporters");
    let mut book = ProofBook::default();
    book.hear(&proof(1, MARK), 10, at(500));
    book.hear(&proof(2, MARK), 10, at(600));
    assert_eq!(book.witnessed(MARK), None, "two fronts, one reporter");
    book.hear(&proof(2, MARK), 11, at(400));
    assert_eq!(book.witnessed(MARK), Some(at(400)), "the older one counts");
    book.hear(&proof(3, MARK + 1), 12, at(700));
    assert_eq!(book.witnessed(MARK), Some(at(400)));
    assert_eq!(book.other_since(MARK, at(600)), Some(MARK + 1));
    assert_eq!(book.other_since(MARK, at(700)), None);
}

/// Proofs of other fronts are kept however often one front or one process reports.
#[test]
fn talkers_push_nobody_out() {
    let mut book = ProofBook::default();
    book.hear(&proof(1, MARK), 1, at(100));
    book.hear(&proof(2, MARK), 2, at(100));
    for teller in 3..200 {
        book.hear(&proof(9, MARK), teller, at(u64::from(teller)));
    }
    assert!(book.witnessed(MARK) >= Some(at(100)));
    let told = book.told(ProvenTable::Operator, at(10_000), at(1_000));
    let sources: Vec<u32> = told.iter().map(|proof| proof.source).collect();
    assert_eq!(sources.len(), 2);
    assert_ne!(sources[0], sources[1]);
}

proptest! {
    /// For any reports in any order: two different fronts and two different reporting processes
    /// stand behind a confirmed read.
    #[test]
    fn witnesses_differ(
        words in proptest::collection::vec((0u32..4, 0u32..4, 0u32..2, 0u64..1_000), 0..30),
    ) {
        let mut book = ProofBook::default();
        for (source, teller, mark, sent) in &words {
            book.hear(&proof(*source, *mark), *teller, at(*sent));
        }
        if let Some(witnessed) = book.witnessed(0) {
            let fitting = |word: &&(u32, u32, u32, u64)| word.2 == 0 && at(word.3) >= witnessed;
            let fitting: Vec<_> = words.iter().filter(fitting).collect();
            let is_pair = fitting.iter().any(|one| {
                fitting.iter().any(|other| one.0 != other.0 && one.1 != other.1)
            });
            prop_assert!(is_pair);
        }
    }
}

/// All fronts of a small fleet read; in a large one a few do, whichever they are.
#[test]
fn readers_drawn() {
    for fronts in 1..=3 {
        for draw in 0..100 {
            let tier = ReaderTier::of(f64::from(draw) / 100.0, fronts);
            assert_eq!(tier, ReaderTier::First);
        }
    }
    for fronts in [30, 103, 2_100] {
        let draws = (0..fronts).map(|n| (f64::from(n) + 0.5) / f64::from(fronts));
        let first = draws.filter(|draw| ReaderTier::of(*draw, fronts) == ReaderTier::First);
        assert_eq!(first.count(), 3, "of {fronts}");
    }
    assert!(ReaderTier::Second.patience() < ReaderTier::Last.patience());
}

/// The reports that one process sends per second stay bounded, up to the fleet size at which they
/// would be too old.
#[test]
fn telling_paced() {
    assert_eq!(digest_pause(3), at(45));
    assert!(digest_pause(29) < at(100));
    for fronts in [30, 60, 103, 180] {
        let a_second = fronts as f64 / digest_pause(fronts).as_secs_f64();
        assert!(a_second < 310.0, "{a_second} for {fronts}");
    }
    assert_eq!(digest_pause(2_100), at(600));
    assert_eq!(greeting_pause(9), at(400));
    for engines in [50, 100, 180] {
        let a_second = engines as f64 / greeting_pause(engines).as_secs_f64();
        assert!(a_second <= 125.0, "{a_second} for {engines}");
    }
}

#[test]
fn marks_follow_rows() {
    let mut one = TableMark::default();
    let mut other = TableMark::default();
    for (key, content) in [("a", "1"), ("b", "2"), ("c", "3")] {
        one.set(key, content.as_bytes());
    }
    for (key, content) in [("c", "3"), ("b", "0"), ("d", "4"), ("a", "1")] {
        other.set(key, content.as_bytes());
    }
    assert_ne!(one.number(), other.number());
    other.set("b", b"2");
    other.remove("d");
    assert_eq!(one.number(), other.number());
    one.set("ab", b"");
    other.set("a", b"b");
    assert_ne!(one.number(), other.number());
}

/// Versions of one era are ordered, those of two eras are not.
#[test]
fn eras_apart() {
    assert_eq!(position(1, 2).compare(position(1, 3)), Ok(Ordering::Less));
    assert!(position(1, 2).compare(position(2, 2)).is_err());
    assert!(position(2, 1).is_told_after(position(1, 900)));
    assert!(!position(1, 900).is_told_after(position(2, 1)));
    assert!(!position(1, 5).is_told_after(position(1, 5)));
}

/// A read of a restored snapshot proves nothing until the writers have had time to rewrite, unless
/// another process has proven the content in this era.
#[test]
fn copy_doubted() {
    let mut eras = EraWatch::default();
    assert_eq!(eras.note(StoreEra(1), at(0)), EraNews::Known);
    assert!(eras.proves(at(0)));
    let later = eras.note(StoreEra(2), at(1_000));
    assert_eq!(
        later,
        EraNews::Later {
            before: StoreEra(1)
        }
    );
    assert_eq!(eras.note(StoreEra(1), at(1_001)), EraNews::Earlier);
    assert!(!eras.proves(at(1_000) + WRITE_AGAIN - Micros(1)));
    assert!(eras.proves(at(1_000) + WRITE_AGAIN));
    eras.vouch(StoreEra(1), at(1_100));
    assert!(!eras.proves(at(1_200)));
    eras.vouch(StoreEra(2), at(1_300));
    assert!(eras.proves(at(1_300)));
}

/// A process that starts accepts the first answer, unless another process knew an earlier era,
/// reported before the answer or after it.
#[test]
fn start_on_copy() {
    let mut eras = EraWatch::default();
    eras.vouch(StoreEra(1), at(400));
    eras.note(StoreEra(2), at(500));
    assert!(!eras.proves(at(500)));
    let mut eras = EraWatch::default();
    eras.note(StoreEra(2), at(500));
    assert!(eras.proves(at(500)));
    assert!(eras.vouch(StoreEra(1), at(600)), "read before the report");
    assert!(!eras.proves(at(600)));
}

/// The reads of two other boxes count for keys as an own read does.
#[test]
fn witnessed_keys() {
    let mut trust = KeyTrust::new(at(4_000), KeyPolicy::FailClosed);
    trust.proven(at(1_000));
    assert!(!trust.lets_in(at(5_000)) && !trust.may_deny(at(5_000)));
    trust.witnessed(at(3_000));
    assert!(trust.lets_in(at(5_000)) && trust.may_deny(at(5_000)));
    assert_eq!(trust.age(at(5_000)), Some(at(2_000)));
    trust.unprove();
    assert!(!trust.lets_in(at(5_000)));
}

/// Ranks of pairs are spread evenly: each engine is among the two highest of some stores, and of
/// no more than a few times its share.
#[test]
fn pairs_spread() {
    let number = |kind: &str, place: u32| even_number(format!("10.{place}.0.1:{kind}"));
    let engines: Vec<u64> = (0..180).map(|place| number("80", place)).collect();
    let mut chosen = vec![0; engines.len()];
    for store in (0..900).map(|place| number("90", place)) {
        let mut ranked: Vec<usize> = (0..engines.len()).collect();
        ranked.sort_by_key(|place| even_mix(store, engines[*place]));
        for place in &ranked[engines.len() - 2..] {
            chosen[*place] += 1;
        }
    }
    let (least, most) = (chosen.iter().min(), chosen.iter().max());
    assert!(least > Some(&0) && most < Some(&30), "{least:?} {most:?}");
}
