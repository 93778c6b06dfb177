//! What may be sent again, how old keys may be, and what is refused early.

use pitchhitch_core::{
    serving::{
        AdmissionAsk, AdmissionRule, AdmissionVerdict, EndpointChoice, EnginePace, KeyFreshness,
        KeyPolicy, PartId, PartMemory, PromptPart, RefusalKind, RepeatBound, RepeatMeter, WallTag,
    },
    time::Micros,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

const BOUND: RepeatBound = RepeatBound {
    window: Micros::from_secs(10),
    ratio: 0.2,
    slack: 50.0,
};

/// Over any window the repeats of all boxes stay within the bound of the pages.
#[test]
fn repeats_bounded() {
    let mut meters = [RepeatMeter::default(), RepeatMeter::default()];
    let mut taken: Vec<u64> = Vec::new();
    let mut asked: Vec<u64> = Vec::new();
    for millis in 0..60_000u64 {
        let meter = &mut meters[(millis % 2) as usize];
        if millis % 20 == 0 {
            meter.request(at(millis));
            asked.push(millis);
        }
        if meter.take(&BOUND, 2, BOUND.window, at(millis)) {
            taken.push(millis);
        }
    }
    for start in (0..50_000).step_by(100) {
        let within = |times: &Vec<u64>| {
            times
                .iter()
                .filter(|t| (start..start + 10_000).contains(*t))
                .count() as f64
        };
        let bound = BOUND.ratio * within(&asked) + BOUND.slack;
        assert!(within(&taken) <= bound, "{} over {bound}", within(&taken));
    }
    assert!(
        taken.len() > 200,
        "the budget is of some use: {}",
        taken.len()
    );
}

/// A box that is killed and comes back has forgotten what it sent again: both
/// lives together stay within the box's share.
#[test]
fn restart_within_share() {
    let mut taken = 0;
    for life in 0..2 {
        let mut meter = RepeatMeter::default();
        let lived = |millis: u64| at(millis) + Micros(BOUND.window.0 * (1 - life));
        for millis in 0..2_000 {
            taken += u32::from(meter.take(&BOUND, 2, lived(millis), at(millis)));
        }
    }
    assert!(f64::from(taken) <= BOUND.slack / 2.0 * 1.05, "{taken}");
}

#[test]
fn old_keys_closed() {
    let mut trust = KeyFreshness::new(at(4_000), KeyPolicy::FailClosed);
    assert!(!trust.admits_keys(at(0)));
    trust.record_read(at(1_000));
    assert!(trust.admits_keys(at(4_999)) && !trust.admits_keys(at(5_000)));
    assert!(trust.is_ready(at(3_000)) && !trust.is_ready(at(3_300)));
    // An answer to an older question proves nothing newer.
    trust.record_read(at(500));
    assert_eq!(trust.proven_at(), Some(at(1_000)));
}

/// Where keys serve on, age turns nobody away, but nobody is told that a key is
/// wrong by old knowledge; without any knowledge nobody is let in.
#[test]
fn old_keys_open() {
    let mut trust = KeyFreshness::new(at(4_000), KeyPolicy::FailOpen);
    assert!(!trust.admits_keys(at(0)) && !trust.is_ready(at(0)));
    trust.record_read(at(1_000));
    assert!(trust.admits_keys(at(90_000)) && trust.is_ready(at(90_000)));
    assert!(trust.may_deny(at(4_999)) && !trust.may_deny(at(5_000)));
}

/// What another box handed on keeps its age, also one from before this process
/// started; it lets callers in, but tells nobody that a key is wrong.
#[test]
fn handed_keys_aged() {
    let mut trust = KeyFreshness::new(at(4_000), KeyPolicy::FailClosed);
    trust.record_report(at(3_000), at(100));
    assert_eq!(trust.age(at(600)), Some(at(3_500)));
    assert!(trust.admits_keys(at(1_000)) && !trust.admits_keys(at(1_100)));
    assert!(!trust.may_deny(at(200)) && trust.proven_at().is_none());
    // An older one changes nothing, a younger one does.
    trust.record_report(at(9_000), at(200));
    assert_eq!(trust.age(at(600)), Some(at(3_500)));
    trust.record_report(at(500), at(200));
    assert_eq!(trust.age(at(600)), Some(at(900)));
    trust.record_read(at(600));
    assert_eq!(trust.age(at(700)), Some(at(100)));
    assert!(trust.may_deny(at(700)));
}

fn choice(
    ahead_ms: f64,
    waiting: u32,
) -> EndpointChoice {
    EndpointChoice {
        wait_ms: ahead_ms,
        ahead_ms,
        ahead_tokens: ahead_ms * 97.0,
        queue_ms: ahead_ms,
        waiting,
        used_tokens: 150_000,
        total_tokens: 179_000,
        ..EndpointChoice::default()
    }
}

fn ask(
    route: &str,
    rank: u8,
) -> AdmissionAsk<'_> {
    AdmissionAsk {
        route,
        rank,
        aim: at(600),
        patience: at(12_000),
    }
}

fn refuses(
    rule: &mut AdmissionRule,
    ask: &AdmissionAsk<'_>,
    choice: &EndpointChoice,
) -> bool {
    let pace = EnginePace::starting_at(1.0 / 97.0);
    rule.judge(ask, &pace, choice) != AdmissionVerdict::Admitted
}

/// A rule that has seen a large kind of the least urgent rank and a small one.
fn two_kinds(
    tokens: u32,
    unread: u32,
) -> AdmissionRule {
    let mut rule = AdmissionRule::default();
    for _ in 0..100 {
        rule.note(&ask("large", 2), tokens, unread);
        rule.note(&ask("small", 1), 800, 200);
    }
    rule
}

/// With two of nine engines dark, memory was full of running prompts and nothing
/// was in time for twenty seconds (first day of high load).
#[test]
fn large_kinds_first() {
    let mut rule = two_kinds(12_000, 3_000);
    let large = ask("large", 2);
    let small = ask("small", 1);
    assert!(!refuses(&mut rule, &large, &choice(0.0, 1)));
    assert!(refuses(&mut rule, &large, &choice(0.0, 4)));
    assert!(!refuses(&mut rule, &small, &choice(0.0, 4)));
    assert!(refuses(&mut rule, &small, &choice(0.0, 60)));
    assert!(refuses(&mut rule, &small, &choice(400.0, 0)));
    // A route that is not known yet is not refused for its size.
    assert!(!refuses(&mut rule, &ask("new", 2), &choice(0.0, 4)));
}

fn with_free(free: u64) -> EndpointChoice {
    EndpointChoice {
        free_tokens: Some(free),
        ..choice(0.0, 0)
    }
}

/// Engines whose memory was full put 81 prompts of a day back and read them anew.
#[test]
fn memory_kept_free() {
    let mut rule = two_kinds(12_000, 3_000);
    let large = ask("large", 2);
    assert!(!refuses(&mut rule, &large, &with_free(12_500)));
    assert!(refuses(&mut rule, &large, &with_free(11_000)));
    // A more urgent one is let in first.
    assert!(!refuses(&mut rule, &ask("large", 1), &with_free(11_000)));
    // A small one fits in, or waits for a moment only.
    assert!(!refuses(&mut rule, &ask("small", 1), &with_free(0)));
}

/// Prompts of late began far too late: an engine with memory free and nothing to read
/// is not shut for that, one that reads and has others waiting is.
#[test]
fn free_engines_taken() {
    let mut pace = EnginePace::starting_at(1.0 / 97.0);
    for _ in 0..200 {
        pace.note_begun(100.0, 5_000.0);
    }
    let mut rule = AdmissionRule::default();
    let mut refused = |choice: &EndpointChoice| {
        let verdicts = (0..20).map(|_| rule.judge(&ask("any", 2), &pace, choice));
        let refused = verdicts.filter(|verdict| *verdict != AdmissionVerdict::Admitted);
        refused.count()
    };
    let late_ms = pace.begin_ms();
    assert!(late_ms > 600.0, "{late_ms}");
    let free = EndpointChoice {
        queue_ms: late_ms,
        ..choice(0.0, 0)
    };
    assert_eq!(refused(&free), 0);
    let busy = EndpointChoice {
        queue_ms: late_ms,
        ..choice(1.0, 1)
    };
    assert_eq!(refused(&busy), 20);
}

#[test]
fn parts_forgotten_in_order() {
    let wall = WallTag(1);
    let part = |id: &str, tokens| PromptPart {
        id: PartId::parse(id).expect("hex"),
        tokens,
    };
    let mut memory = PartMemory::default();
    memory.touch(wall, &[part("a", 400), part("b", 400)], 1_000);
    memory.touch(wall, &[part("a", 400), part("c", 400)], 1_000);
    assert_eq!(memory.reuse(wall, &[part("a", 400), part("c", 400)]), 800);
    assert_eq!(memory.tokens_of(wall, part("b", 1).id), 0);
    assert!(memory.tokens() <= 1_000);
    assert_eq!(memory.reuse(WallTag(2), &[part("a", 400)]), 0, "walls hold");
    memory.set(wall, part("a", 1).id, 100);
    assert_eq!(memory.reuse(wall, &[part("a", 400), part("c", 400)]), 100);
}

#[test]
fn part_ids_unchanged() {
    for text in ["5c1e07a2", "00ab", "0", "ffffffffffffffff"] {
        assert_eq!(
            PartId::parse(text).map(|id| id.to_string()),
            Some(text.to_string())
        );
    }
    for text in ["", "xyz", "11111111111111111"] {
        assert_eq!(PartId::parse(text), None);
    }
}

/// "Has not run" is promised only by kinds that are used before anything is sent,
/// or on the endpoint's own word.
#[test]
fn promises_by_kind() {
    let unknown = [
        RefusalKind::EndpointLost,
        RefusalKind::BadAnswer,
        RefusalKind::TimedOut,
    ];
    for kind in unknown {
        assert!(!matches!(kind.row().status, 408 | 421 | 429 | 503));
        assert_eq!(kind.row().come_back, None);
    }
    let not_run = [
        RefusalKind::NoConfig,
        RefusalKind::StaleKeys,
        RefusalKind::Overloaded,
    ];
    for kind in not_run {
        assert!(kind.row().status == 503 && kind.row().come_back.is_some());
    }
}
