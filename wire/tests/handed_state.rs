//! What one process hands another of its knowledge: ages, marks and what goes back.

use {
    pitchhitch_core::{
        serving::{StoreUptime, WeightPublication},
        time::Micros,
    },
    pitchhitch_wire::beside::HandedState,
};

fn naming(
    model: &str,
    version: u64,
    age_ms: Option<u64>,
) -> WeightPublication {
    WeightPublication {
        model: model.to_string(),
        version,
        previous: Some(version - 1),
        age: age_ms.map(Micros::from_millis),
    }
}

fn state(weights: Vec<WeightPublication>) -> HandedState {
    HandedState {
        version: 4,
        age: Micros::from_millis(100),
        era: None,
        weights,
        ..HandedState::default()
    }
}

/// All ages grow, and the mark stays, as nothing else has changed.
#[test]
fn ages_grow() {
    let young = state(vec![naming("m", 2, Some(300)), naming("n", 7, None)]);
    let mut old = young.clone();
    old.grow_older(Micros::from_millis(2_000));
    assert_eq!(old.age, Micros::from_millis(2_100));
    assert_eq!(
        old.weights,
        vec![naming("m", 2, Some(2_300)), naming("n", 7, None)]
    );
    assert_eq!(old.mark(), young.mark());
    assert_ne!(state(vec![naming("m", 3, None)]).mark(), young.mark());
}

/// A state goes back where any of its models has older weights, or its configuration is
/// older.
#[test]
fn older_goes_back() {
    let both = state(vec![
        naming("m", 2, None),
        naming("m", 1, None),
        naming("n", 7, None),
    ]);
    let newer = state(vec![naming("m", 3, None), naming("n", 7, None)]);
    let lacking = state(vec![naming("m", 3, None)]);
    assert!(!newer.goes_back_from(&both) && both.goes_back_from(&newer));
    assert!(lacking.goes_back_from(&both) && !both.goes_back_from(&both));
    let before = HandedState {
        version: 3,
        ..newer.clone()
    };
    assert!(before.goes_back_from(&newer) && !newer.goes_back_from(&before));
}

/// Lives of stores last on by what has passed at least: a span that may be too long makes
/// all else older, and not them. No copy is pulled anew for them.
#[test]
fn lives_last_on() {
    let life = |lasted_ms| StoreUptime {
        address: ([10, 9, 0, 1], 1).into(),
        epoch: 7,
        lasted: Micros::from_millis(lasted_ms),
    };
    let young = HandedState {
        evacuated: Vec::new(),
        lives: vec![life(300)],
        ..state(Vec::new())
    };
    let mut old = young.clone();
    old.grow_older(Micros::from_millis(2_000));
    assert_eq!(old.lives, vec![life(300)]);
    old.live_on(Micros::from_millis(1_500));
    assert_eq!(old.lives, vec![life(1_800)]);
    assert_eq!(old.mark(), young.mark());
    assert_eq!(young.mark(), state(Vec::new()).mark());
}
