//! Parsing of settings files.

use pitchhitch_core::settings::SettingsReader;

fn read(text: &str) -> Result<String, String> {
    let mut reader = SettingsReader::parse("box.json", text).map_err(|e| e.to_string())?;
    let name = reader.text("name");
    let _ = reader.address("listen");
    let _ = reader.number("room", 10, 1..=100);
    let _ = reader.flag("quiet", false);
    reader.finish().map_err(|e| e.to_string())?;
    Ok(name)
}

#[test]
fn all_problems_reported() {
    let text = r#"{"name": 7, "listen": "localhost:80", "room": 0, "quiet": "no", "nmae": "x"}"#;
    let error = read(text).expect_err("wrong");
    let lines: Vec<&str> = error.lines().collect();
    assert_eq!(lines.len(), 5, "{error}");
    for (line, field) in lines
        .iter()
        .zip(["name", "listen", "room", "quiet", "nmae"])
    {
        assert!(
            line.starts_with(&format!("box.json: {field}: found ")),
            "{line}"
        );
        assert!(line.contains("wanted"), "{line}");
    }
}

#[test]
fn comments_allowed() {
    let text = r#"{"// name": "who it is", "name": "a", "listen": "127.0.0.1:80"}"#;
    assert_eq!(read(text), Ok("a".to_string()));
}

#[test]
fn broken_json_reported() {
    let error = read("{\"name\": ").expect_err("broken");
    assert!(
        error.starts_with("box.json: (whole file): found EOF"),
        "{error}"
    );
    let error = read("[1]").expect_err("no object");
    assert!(error.contains("wanted one JSON object"), "{error}");
}

/// A template writes a flag as a string, which is empty when the value is missing; then the
/// default applies.
#[test]
fn flags_as_text() {
    let read = |value: &str| {
        let text = format!("{{\"closed\": {value}}}");
        let mut reader = SettingsReader::parse("box.json", &text).expect("readable");
        let flag = reader.flag_or_text("closed", true);
        reader.finish().map(|()| flag).map_err(|e| e.to_string())
    };
    for (value, wanted) in [
        ("true", true),
        ("false", false),
        ("\"true\"", true),
        ("\"false\"", false),
        ("\"\"", true),
        ("null", true),
    ] {
        assert_eq!(read(value), Ok(wanted), "{value}");
    }
    for wrong in ["\"no\"", "0", "[]"] {
        let error = read(wrong).expect_err("wrong");
        assert!(error.starts_with("box.json: closed: found "), "{error}");
    }
}
