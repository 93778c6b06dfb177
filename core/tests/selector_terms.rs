//! Selectors: syntax, matching and rejected input.

use {
    pitchhitch_core::labels::{LabelSelector, LabelSet, SelectorError},
    proptest::prelude::*,
};

fn labels(pairs: &[(&str, &str)]) -> LabelSet {
    pairs.iter().copied().collect()
}

fn matches(
    selector: &str,
    pairs: &[(&str, &str)],
) -> bool {
    LabelSelector::parse(selector)
        .expect("selector")
        .matches(&labels(pairs))
}

#[test]
fn equality_terms() {
    assert!(matches("site=a", &[("site", "a")]));
    assert!(!matches("site=a", &[("site", "b")]));
    assert!(!matches("site=a", &[]));
    assert!(matches("site!=a", &[("site", "b")]));
    assert!(matches("site!=a", &[]));
}

#[test]
fn set_terms() {
    assert!(matches("tier in (gold|silver)", &[("tier", "silver")]));
    assert!(!matches("tier in (gold|silver)", &[("tier", "tin")]));
    assert!(!matches("tier in (gold|silver)", &[]));
    assert!(matches("tier notin (gold|silver)", &[("tier", "tin")]));
    assert!(matches("tier notin (gold|silver)", &[]));
}

#[test]
fn existence_terms() {
    assert!(matches("canary", &[("canary", "yes")]));
    assert!(!matches("canary", &[]));
    assert!(matches("!canary", &[]));
    assert!(!matches("!canary", &[("canary", "no")]));
}

#[test]
fn all_terms_hold() {
    let both = "site=a, !leaving";
    assert!(matches(both, &[("site", "a")]));
    assert!(!matches(both, &[("site", "a"), ("leaving", "true")]));
    assert!(matches("", &[]));
}

#[test]
fn bad_terms() {
    for text in [
        "=a",
        "site=",
        "a b",
        "x in gold",
        "x in (a|)",
        "!",
        "a=b=c",
        "käse=a",
    ] {
        let error = LabelSelector::parse(text).expect_err(text);
        assert!(
            matches!(
                error,
                SelectorError::InvalidLabel { .. } | SelectorError::InvalidTerm { .. }
            ),
            "{text}"
        );
    }
}

fn term() -> impl Strategy<Value = String> {
    let word = "[a-z][a-z0-9.-]{0,5}";
    prop_oneof![
        (word, word).prop_map(|(k, v)| format!("{k}={v}")),
        (word, word).prop_map(|(k, v)| format!("{k}!={v}")),
        (word, word, word).prop_map(|(k, a, b)| format!("{k} in ({a}|{b})")),
        (word, word, word).prop_map(|(k, a, b)| format!("{k} notin ({a}|{b})")),
        word.prop_map(|k| k.to_string()),
        word.prop_map(|k| format!("!{k}")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn text_round_trip(terms in proptest::collection::vec(term(), 0..5)) {
        let selector = LabelSelector::parse(&terms.join(",")).expect("selector");
        let again = LabelSelector::parse(&selector.to_string()).expect("own text");
        prop_assert_eq!(selector, again);
    }

    #[test]
    fn parse_never_panics(text in ".{0,40}") {
        let _ = LabelSelector::parse(&text);
    }
}
