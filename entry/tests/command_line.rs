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
fn help_per_command() {
    let commands = [
        "serve", "front", "check", "label", "select", "apply", "show", "drain", "status", "explain",
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
    for file in ["entry.json", "operator.json", "front.json"] {
        let output = run(&["check", &format!("{folder}/{file}")]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn every_problem_listed() {
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

const LOG_LINES: &str = "\
edge-1 time=2026-02-26T06:46:13.100Z level=INFO event=try request=r1 endpoint=e1 outcome=sent cause=\"\" send=1
edge-1 time=2026-02-26T06:46:13.000Z level=INFO event=try request=r0 endpoint=e2 outcome=sent cause=\"\" send=1
nonsense
edge-2 time=2026-02-26T06:46:13.400Z level=WARN event=endpoint-out endpoint=e1 cause=\"three \\\"bad\\\" answers\"
edge-1 time=2026-02-26T06:46:13.500Z level=INFO event=refused request=r1 kind=endpoint-lost status=502
";

#[test]
fn trace_from_logs() {
    let file = std::env::temp_dir().join(format!("pitchhitch-log-{}.txt", std::process::id()));
    std::fs::write(&file, LOG_LINES).expect("file");
    let path = file.to_str().expect("path");
    let output = run(&["explain", "--log", path, "r1"]);
    let unknown = run(&["explain", "--log", path, "r9"]);
    std::fs::remove_file(&file).expect("removed");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(output.status.success());
    assert!(text.contains("try: endpoint=e1 outcome=sent"), "{text}");
    assert!(
        text.contains("refused: kind=endpoint-lost status=502"),
        "{text}"
    );
    assert!(
        text.contains("edge-2 endpoint-out: endpoint=e1 cause=three \"bad\" answers"),
        "{text}"
    );
    assert!(!text.contains("e2"), "{text}");
    assert!(stderr(&output).contains("1 lines are not pitchhitch log lines"));
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stderr(&unknown).contains("no line has request=r9"));
    let missing = run(&["explain", "--log", "/nowhere/at-all", "r1"]);
    assert!(stderr(&missing).contains("/nowhere/at-all: cannot be read"));
}

#[test]
fn front_settings_checked() {
    let file = std::env::temp_dir().join(format!("pitchhitch-front-{}.json", std::process::id()));
    std::fs::write(
        &file,
        r#"{"digests": 5, "repeat_ratio": 7, "colour": "red"}"#,
    )
    .expect("file");
    let path = file.to_str().expect("path");
    for args in [&["check", path][..], &["front", "--settings", path]] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(3));
        let text = stderr(&output);
        for field in [
            "box_id",
            "callers",
            "ready",
            "digests",
            "store",
            "repeat_ratio",
            "colour",
        ] {
            assert!(
                text.contains(&format!(": {field}: found ")),
                "{field}: {text}"
            );
        }
    }
    std::fs::remove_file(&file).expect("removed");
}
