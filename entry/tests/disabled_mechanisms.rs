//! Mechanisms that the settings of a front disable.

use {
    pitchhitch_core::serving::{MechanismSet, ServingMechanism},
    pitchhitch_entry::front::FrontSettings,
};

fn read(extra: &str) -> Result<MechanismSet, String> {
    let text = format!(
        r#"{{"box_id": "b", "failure_domain": "d", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "digests": "127.0.0.1:3", "store": "127.0.0.1:4"{extra}}}"#
    );
    let settings = FrontSettings::parse("front.json", &text);
    settings
        .map(|settings| settings.disabled_mechanisms)
        .map_err(|errors| errors.to_string())
}

#[test]
fn none_by_default() {
    for extra in ["", r#", "without": []"#] {
        assert_eq!(read(extra), Ok(MechanismSet::default()));
    }
}

#[test]
fn named_mechanisms_disabled() {
    let wanted = [ServingMechanism::Home, ServingMechanism::LateRule];
    let found = read(r#", "without": ["late-rule", "home"]"#);
    assert_eq!(found, Ok(MechanismSet::of(wanted)));
}

#[test]
fn unknown_refused() {
    for (value, found) in [
        (r#"["home", "house"]"#, "house"),
        (r#""home""#, "home"),
        ("[7]", "7"),
    ] {
        let error = read(&format!(r#", "without": {value}"#)).expect_err("no such name");
        assert!(error.contains("front.json"), "{error}");
        assert!(
            error.contains(&format!("without: found {found}"))
                || error.contains(&format!("without: found {value}")),
            "{error}"
        );
        assert!(
            error.contains("a list of admission, late-rule, "),
            "{error}"
        );
    }
}
