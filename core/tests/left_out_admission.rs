//! Mechanisms of the admission that are left out: each changes the decision that it
//! names, and no other.

use pitchhitch_core::{
    serving::{
        AdmissionAsk, AdmissionRule, AdmissionVerdict, EndpointChoice, EnginePace, MechanismSet,
        ServingMechanism,
    },
    time::Micros,
};

const MEMORY: u64 = 179_000;

fn without(mechanism: ServingMechanism) -> MechanismSet {
    MechanismSet::of([mechanism])
}

fn ask<'a>(
    route: &'a str,
    rank: u8,
) -> AdmissionAsk<'a> {
    AdmissionAsk {
        route,
        rank,
        aim: Micros::from_secs(1),
        patience: Micros::from_secs(10),
    }
}

/// A rule that has seen a large kind of the least urgent rank and a small one.
fn rule(left_out: MechanismSet) -> AdmissionRule {
    let mut rule = AdmissionRule::without(left_out);
    for _ in 0..100 {
        rule.note(&ask("large", 2), 12_000, 3_000);
        rule.note(&ask("small", 1), 800, 200);
    }
    rule
}

fn pace() -> EnginePace {
    EnginePace::starting_at(1.0 / 97.0)
}

/// Mechanisms of the admission without which the large prompt gets another verdict.
fn deciding(
    ask: &AdmissionAsk<'_>,
    choice: &EndpointChoice,
) -> Vec<ServingMechanism> {
    let verdict = |left_out| rule(left_out).judge(ask, &pace(), choice);
    let whole = verdict(MechanismSet::default());
    let all = ServingMechanism::ALL.into_iter();
    all.filter(|mechanism| verdict(without(*mechanism)) != whole)
        .collect()
}

fn idle() -> EndpointChoice {
    EndpointChoice {
        total_tokens: MEMORY,
        ..EndpointChoice::default()
    }
}

#[test]
fn late_prompts() {
    let late = EndpointChoice {
        ahead_tokens: 1.0,
        queue_ms: 5_000.0,
        ..idle()
    };
    let found = deciding(&ask("large", 2), &late);
    assert_eq!(
        found,
        [ServingMechanism::Admission, ServingMechanism::LateRule]
    );
}

#[test]
fn many_waiting() {
    let crowded = EndpointChoice {
        waiting: 4,
        ..idle()
    };
    let found = deciding(&ask("large", 2), &crowded);
    assert_eq!(
        found,
        [ServingMechanism::Admission, ServingMechanism::WaitingRule]
    );
}

#[test]
fn short_memory() {
    let full = EndpointChoice {
        free_tokens: Some(11_000),
        ..idle()
    };
    let found = deciding(&ask("large", 2), &full);
    assert_eq!(
        found,
        [ServingMechanism::Admission, ServingMechanism::MemoryRule]
    );
}

#[test]
fn kept_memory() {
    let mut keeper = EndpointChoice {
        free_tokens: Some(8_000),
        ..idle()
    };
    keeper.plan.cached_tokens = 9_000;
    let found = deciding(&ask("large", 2), &keeper);
    assert_eq!(found, [ServingMechanism::KeptMemory]);
}

#[test]
fn refused_before() {
    let behind = EndpointChoice {
        ahead_tokens: 1.0,
        queue_ms: 800.0,
        ..idle()
    };
    let back = AdmissionAsk {
        patience: Micros::from_secs(5),
        ..ask("large", 2)
    };
    assert_eq!(deciding(&back, &behind), [ServingMechanism::ReturnOrder]);
}

#[test]
fn memory_kept_back() {
    let large = ask("large", 2);
    let verdict = |left_out| {
        let mut rule = rule(left_out);
        let full = EndpointChoice {
            free_tokens: Some(0),
            ..idle()
        };
        for _ in 0..300 {
            assert_eq!(
                rule.judge(&large, &pace(), &full),
                AdmissionVerdict::NoMemory
            );
        }
        let some = EndpointChoice {
            free_tokens: Some(20_000),
            ..idle()
        };
        rule.judge(&large, &pace(), &some)
    };
    let whole = verdict(MechanismSet::default());
    assert_eq!(whole, AdmissionVerdict::NoMemory);
    let lacking = verdict(without(ServingMechanism::KeptBack));
    assert_eq!(lacking, AdmissionVerdict::Admitted);
}

#[test]
fn asked_back() {
    let choice = |queue_ms| EndpointChoice {
        ahead_tokens: 1.0,
        queue_ms,
        ..idle()
    };
    let back = |left_out, queue_ms| {
        rule(left_out).come_back(&ask("large", 2), &pace(), &choice(queue_ms), 0.0)
    };
    let none = MechanismSet::default();
    assert!(back(none, 800.0) < back(none, 1_500.0));
    let lacking = without(ServingMechanism::ComeBack);
    assert_eq!(back(lacking, 800.0), back(lacking, 1_500.0));
}

#[test]
fn learned_pace() {
    let start = EnginePace::default().token_ms();
    let learn = |mut pace: EnginePace| {
        for tokens in (0..400).map(|number| f64::from(number * 100)) {
            pace.note_begun(tokens, tokens * start * 3.0);
        }
        pace.token_ms()
    };
    let whole = learn(EnginePace::without(MechanismSet::default()));
    assert!(whole > start * 2.0, "{whole} ms, {start} ms at the start");
    let lacking = without(ServingMechanism::LearnedPace);
    assert_eq!(learn(EnginePace::without(lacking)), start);
}
