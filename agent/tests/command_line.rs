//! Command line of `pitchhitch-agent`.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pitchhitch-agent"))
        .args(args)
        .output()
        .expect("runs")
}

#[test]
fn help_text() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("--settings"));
}

#[test]
fn missing_settings() {
    let output = run(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--settings FILE is missing"));
}

#[test]
fn defaults_pass_check() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../settings/agent.json");
    let output = run(&["--check", "--settings", file]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

/// The subcommand `beside` prints the same help and version.
#[test]
fn beside_help_version() {
    for flag in ["--help", "--version"] {
        let endpoint = run(&[flag]);
        let beside = run(&["beside", flag]);
        assert_eq!(beside.status.code(), Some(0), "{flag}");
        assert_eq!(beside.stdout, endpoint.stdout, "{flag}");
    }
}
