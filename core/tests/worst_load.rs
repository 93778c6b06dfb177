//! Loads that engines cannot serve, replayed on a small model of one engine.

mod worst_engine;

use {
    pitchhitch_core::{
        serving::{AdmissionAsk, AdmissionRule, AdmissionVerdict, EndpointChoice, EnginePace},
        time::Micros,
    },
    worst_engine::{ask, play, play_ruled, Engine, AIM_MS, ROOM},
};

/// Twice as much to read as an engine can: without a rule all but the first are
/// late; by what prompts of late have taken, most of those let in are in time.
#[test]
fn reading_overloaded() {
    let size = (2_400.0, 2_400.0);
    let all = play(24.0, 50, size, EnginePace::default(), &mut |_, _| true);
    assert!(all.in_time < 60 && all.late > 200, "{all:?}");
    for wrong in [0.25, 1.0, 4.0] {
        let pace = EnginePace::starting_at(wrong / 24.0);
        let ruled = play_ruled(24.0, 50, size, pace);
        assert!(ruled.in_time > all.in_time * 3, "{wrong}: {ruled:?}");
        assert!(ruled.late * 4 < ruled.in_time, "{wrong}: {ruled:?}");
    }
}

/// Four times the memory that an engine has: what is let in begins in time, and
/// nothing waits for seconds.
#[test]
fn memory_overloaded() {
    let size = (12_000.0, 4_000.0);
    let all = play(48.0, 100, size, EnginePace::default(), &mut |_, _| true);
    let ruled = play_ruled(48.0, 100, size, EnginePace::default());
    assert!(ruled.in_time > all.in_time * 3, "{all:?} {ruled:?}");
    assert!(ruled.late * 4 < ruled.in_time, "{ruled:?}");
}

/// Four times what an engine can read: some are let in all the time, and no run of
/// callers gets nothing for as long as an engine could have read ten prompts.
#[test]
fn refused_in_short_runs() {
    let size = (2_400.0, 2_400.0);
    let mut rule = AdmissionRule::default();
    let (mut run, mut longest) = (0, 0);
    let pace = EnginePace::starting_at(1.0 / 24.0);
    play(24.0, 25, size, pace, &mut |choice, pace| {
        rule.note(&ask(), size.0 as u32, size.1 as u32);
        let is_in = rule.judge(&ask(), pace, choice) == AdmissionVerdict::Admitted;
        run = if is_in { 0 } else { run + 1 };
        longest = longest.max(run);
        is_in
    });
    // Forty prompts come while an engine reads ten.
    assert!((1..40).contains(&longest), "{longest} in a row");
}

/// Half of what the engine can do: nobody is refused.
#[test]
fn light_load_served() {
    let ruled = play_ruled(48.0, 600, (9_000.0, 3_000.0), EnginePace::default());
    assert_eq!((ruled.late, ruled.refused), (0, 0), "{ruled:?}");
}

/// Some load of both kinds, as much of it as an engine has room for and more: the
/// urgent kind is refused only where the other one is.
#[test]
fn least_urgent_pay_first() {
    let pace = EnginePace::default();
    let urgent = AdmissionAsk {
        route: "urgent",
        rank: 0,
        ..ask()
    };
    let mut rule = AdmissionRule::default();
    for _ in 0..100 {
        rule.note(&ask(), 12_000, 4_000);
        rule.note(&urgent, 12_000, 4_000);
    }
    let (mut refused_urgent, mut refused_other) = (0, 0);
    for tenths in 0..10 {
        for waiting in 0..4 {
            let choice = EndpointChoice {
                free_tokens: Some((ROOM * f64::from(tenths) / 10.0) as u64),
                waiting,
                ahead_tokens: 100.0,
                queue_ms: 200.0 * f64::from(waiting),
                ..Engine::new(48.0).choice(&pace)
            };
            let refuses = |rule: &mut AdmissionRule, ask: &AdmissionAsk<'_>| {
                rule.judge(ask, &pace, &choice) != AdmissionVerdict::Admitted
            };
            let (other, first) = (refuses(&mut rule, &ask()), refuses(&mut rule, &urgent));
            assert!(other || !first, "{choice:?}");
            refused_other += u32::from(other);
            refused_urgent += u32::from(first);
        }
    }
    assert!(
        refused_urgent < refused_other,
        "{refused_urgent} {refused_other}"
    );
}

/// After a crowd has passed, the engine takes prompts again at once, whatever was
/// learned in it: nothing stays shut by an old lesson.
#[test]
fn idle_engine_takes_any() {
    let mut pace = EnginePace::default();
    for _ in 0..300 {
        pace.note_begun(100.0, 5_000.0);
    }
    let mut rule = AdmissionRule::default();
    rule.note(&ask(), 12_000, 12_000);
    let idle = Engine::new(48.0).choice(&pace);
    assert!(idle.queue_ms > AIM_MS);
    let verdict = rule.judge(&ask(), &pace, &idle);
    assert_eq!(verdict, AdmissionVerdict::Admitted);
}

/// Where most large prompts find no memory, some of it is kept back; a caller that
/// was refused before gets it, and goes before who comes first now.
#[test]
fn memory_kept_back() {
    let pace = EnginePace::default();
    let mut rule = AdmissionRule::default();
    rule.note(&ask(), 12_000, 4_000);
    let with_free = |free| EndpointChoice {
        free_tokens: Some(free),
        ..Engine::new(48.0).choice(&pace)
    };
    let judge = |rule: &mut AdmissionRule, ask: &AdmissionAsk<'_>, free| {
        rule.judge(ask, &pace, &with_free(free))
    };
    assert_eq!(judge(&mut rule, &ask(), 13_000), AdmissionVerdict::Admitted);
    for _ in 0..200 {
        assert_eq!(judge(&mut rule, &ask(), 100), AdmissionVerdict::NoMemory);
    }
    assert_eq!(judge(&mut rule, &ask(), 13_000), AdmissionVerdict::NoMemory);
    let back = AdmissionAsk {
        patience: Micros::from_secs(11),
        ..ask()
    };
    assert_eq!(judge(&mut rule, &back, 13_000), AdmissionVerdict::Admitted);
}

/// Engines are nearly full, and half of the prompts come back to one that keeps three
/// quarters of them: these are let in, those that would be read whole are not.
#[test]
fn kept_parts_let_in() {
    let pace = EnginePace::default();
    let mut rule = AdmissionRule::default();
    let (mut returning, mut new) = (0, 0);
    for number in 0..40 {
        rule.note(&ask(), 12_000, 3_000);
        let mut choice = EndpointChoice {
            free_tokens: Some(8_000),
            ..Engine::new(48.0).choice(&pace)
        };
        let is_kept = number % 2 == 0;
        choice.plan.cached_tokens = if is_kept { 9_000 } else { 0 };
        let is_in = rule.judge(&ask(), &pace, &choice) == AdmissionVerdict::Admitted;
        match is_kept {
            true => returning += u32::from(is_in),
            false => new += u32::from(is_in),
        }
    }
    assert_eq!((returning, new), (20, 0));
}

/// Refused callers are asked back when the backlog will have gone, not before and
/// not all at once.
#[test]
fn return_by_backlog() {
    let mut pace = EnginePace::starting_at(0.02);
    for _ in 0..200 {
        pace.note_sent(12_000, 4_000, 60);
        pace.note_ended(12_000, 2_000.0);
    }
    let mut rule = AdmissionRule::default();
    rule.note(&ask(), 12_000, 4_000);
    let come_back = |free: u64, queue_ms: f64, spread: f64| {
        let choice = EndpointChoice {
            free_tokens: Some(free),
            queue_ms,
            used_tokens: 60_000,
            ..Engine::new(48.0).choice(&pace)
        };
        rule.come_back(&ask(), &pace, &choice, spread).as_millis()
    };
    // 12,000 tokens at 30 a millisecond.
    assert!((350..=450).contains(&come_back(0, 0.0, 0.0)));
    assert!(come_back(6_000, 0.0, 0.0) < come_back(0, 0.0, 0.0));
    assert!(come_back(0, 1_500.0, 0.0) > 800);
    assert!(come_back(0, 0.0, 1.0) >= come_back(0, 0.0, 0.0) * 2 - 1);
    assert!(come_back(0, 1.0e9, 1.0) <= 2_000, "bounded");
}
