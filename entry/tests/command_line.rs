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
