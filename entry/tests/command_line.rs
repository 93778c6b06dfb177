//! The command line of `pitchhitch`.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pitchhitch"))
        .args(args)
        .output()
        .expect("runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}

#[test]
fn help_everywhere() {
    let commands = [
        "serve", "check", "label", "select", "apply", "show", "drain", "status", "explain",
    ];
    for command in commands {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{command}");
        let text = String::from_utf8_lossy(&output.stdout).to_string();
        assert!(text.contains("Usage: pitchhitch"), "{command}: {text}");
        assert!(text.contains("Exit codes"), "{command}: {text}");
    }
}

#[test]
fn unknown_command() {
    let output = run(&["dance"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("there is no command 'dance'"));
}

#[test]
fn missing_settings() {
    let output = run(&["show", "--settings", "/nowhere/at-all.json"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("cannot be read"));
}

#[test]
fn defaults_pass_check() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../settings");
    for file in ["entry.json", "operator.json"] {
        let output = run(&["check", &format!("{folder}/{file}")]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn check_names_everything() {
    let file = std::env::temp_dir().join(format!("pitchhitch-check-{}.json", std::process::id()));
    std::fs::write(
        &file,
        r#"{"box_id": 7, "callers": "localhost", "colour": "red"}"#,
    )
    .expect("file");
    let output = run(&["check", file.to_str().expect("path")]);
    std::fs::remove_file(&file).expect("removed");
    assert_eq!(output.status.code(), Some(3));
    let text = stderr(&output);
    for field in [
        "box_id",
        "failure_domain",
        "callers",
        "operators",
        "table",
        "colour",
    ] {
        assert!(
            text.contains(&format!(": {field}: found ")),
            "{field}: {text}"
        );
    }
}
