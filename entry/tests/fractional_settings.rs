//! Numbers that the platform fills into a front's settings may be fractions.

use {
    pitchhitch_core::time::Micros,
    pitchhitch_entry::front::FrontSettings,
    serde_json::{json, Value},
    std::{fs, path::Path, time::Duration},
};

/// Fields that the template fills with a number.
const NUMERIC_FIELDS: [&str; 10] = [
    "key_limit_ms",
    "drain_limit_ms",
    "heartbeat_ms",
    "weights_limit_ms",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_slack",
    "order_gap_ms",
    "stop_limit_s",
    "memory_mb",
];

fn example() -> Value {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings/front.json");
    let text = fs::read_to_string(file).expect("the example");
    serde_json::from_str(&text).expect("json")
}

fn parse(settings: &Value) -> Result<FrontSettings, String> {
    FrontSettings::parse("front.json", &settings.to_string()).map_err(|error| error.to_string())
}

/// A value may be a share of a larger number, and thus a fraction. Fronts exited with
/// `repeat_slack: found 36.17, wanted a whole number`.
#[test]
fn fractions_accepted() {
    for field in NUMERIC_FIELDS {
        let mut settings = example();
        let whole = settings[field].as_f64().expect(field);
        settings[field] = json!(whole / 6.8);
        if let Err(error) = parse(&settings) {
            panic!("{field}: {error}");
        }
    }
}

#[test]
fn fractions_not_rounded() {
    let mut settings = example();
    settings["repeat_slack"] = json!(36.176_470_588_235_3);
    settings["drain_limit_ms"] = json!(1_500.5);
    settings["stop_limit_s"] = json!(7.25);
    settings["repeat_window_s"] = json!(0.5);
    let read = parse(&settings).expect("valid settings");
    assert_eq!(read.retry_limit.slack, 36.176_470_588_235_3);
    assert_eq!(read.drain_limit, Micros(1_500_500));
    assert_eq!(read.stop_limit, Duration::from_millis(7_250));
    assert_eq!(read.retry_limit.window, Micros::from_millis(500));
}

/// The error for an invalid or out-of-range number states the file, the field, the value and what
/// was expected.
#[test]
fn invalid_numbers_rejected() {
    for field in NUMERIC_FIELDS {
        for wrong in [json!(-1.5), json!("many"), json!([1]), json!(1e300)] {
            let mut settings = example();
            settings[field] = wrong.clone();
            let error = parse(&settings).expect_err(field);
            let start = format!("front.json: {field}: found {wrong}, wanted a number");
            assert!(error.starts_with(&start), "{error}");
        }
    }
}

/// [`NUMERIC_FIELDS`] lists all fields that the template fills with numbers.
#[test]
fn template_numbers_covered() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/front.json.in");
    let template = fs::read_to_string(file).expect("the template");
    let is_number = |line: &&str| line.contains(": {{") && !line.contains("|json");
    for line in template.lines().filter(is_number) {
        let field = line.trim().split('"').nth(1).expect("a field");
        let is_port = field == "beside_port";
        assert!(is_port || NUMERIC_FIELDS.contains(&field), "{field}");
    }
}
