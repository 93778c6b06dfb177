//! Why shared parts of prompts were prefilled, derived from the log lines of all fronts.

use {
    pitchhitch_entry::explain::{PrefillCause, PrefillSummary, PrefillTotals},
    std::process::Command,
};

/// Log line of a front about a prompt that it sent at `at_ms`.
fn sent(
    front: &str,
    at_ms: u32,
    request: &str,
    parts: &str,
    weights: u32,
) -> String {
    let (second, millis) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        "{front} time=2026-02-26T06:46:{second:02}.{millis:03}Z level=INFO event=try request={request} \
         outcome=sent shared_unread=1000 parts={parts} weights={weights}\n"
    )
}

fn ended(
    request: &str,
    first_ms: u32,
) -> String {
    format!("f1 time=2026-02-26T06:46:59.000Z level=INFO event=end request={request} first_ms={first_ms}\n")
}

fn log() -> String {
    let lines = [
        sent("f1", 1_000, "r1", "aa:r,bb:r", 1),
        ended("r1", 400),
        // Request r1 has no first token yet.
        sent("12.5 f1", 1_200, "r2", "aa:k,bb:r", 1),
        ended("r2", 100),
        sent("f2", 1_250, "r3", "aa:f,bb:r", 1),
        ended("r3", 10),
        sent("f2", 9_000, "r4", "bb:r", 1),
        ended("r4", 10),
        sent("f2", 40_000, "r5", "bb:r", 1),
        // Other weights.
        sent("f2", 41_000, "r6", "bb:r", 2),
        "nonsense\n".to_string(),
    ];
    lines.concat()
}

#[test]
fn prefill_causes() {
    let summary = PrefillSummary::read(log().as_bytes()).expect("lines");
    let expected = [
        (PrefillCause::First, 3, 2_000.0),
        (PrefillCause::InProgressSameFront, 1, 1_000.0),
        (PrefillCause::InProgressOtherFront, 1, 1_000.0),
        (PrefillCause::NotCached, 1, 1_000.0),
        (PrefillCause::Expired, 1, 1_000.0),
    ];
    let expected = expected.map(|(cause, parts, tokens)| (cause, PrefillTotals { parts, tokens }));
    assert_eq!(summary.by_cause, expected.into_iter().collect());
    assert_eq!(summary.malformed_lines, 1);
}

/// Log lines of several fronts may arrive in any order.
#[test]
fn line_order_ignored() {
    let mut lines: Vec<String> = log().lines().map(|line| format!("{line}\n")).collect();
    lines.reverse();
    let reversed = PrefillSummary::read(lines.concat().as_bytes()).expect("lines");
    assert_eq!(
        reversed,
        PrefillSummary::read(log().as_bytes()).expect("lines")
    );
}

#[test]
fn causes_printed() {
    let file = std::env::temp_dir().join(format!("pitchhitch-reads-{}.txt", std::process::id()));
    std::fs::write(&file, log()).expect("file");
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_pitchhitch");
        Command::new(program).args(args).output().expect("run")
    };
    let path = file.to_str().expect("path");
    let output = run(&["explain", "--log", path, "--reads"]);
    std::fs::write(&file, "nonsense\n").expect("file");
    let no_prefills = run(&["explain", "--log", path, "--reads"]);
    let no_log = run(&["explain", "--reads"]);
    std::fs::remove_file(&file).expect("removed");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(output.status.success());
    assert!(
        text.contains("1000 tokens        1 parts: read within 20 s"),
        "{text}"
    );
    assert_eq!(no_prefills.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&no_prefills.stderr).contains("add the logs of all fronts"));
    assert!(!no_log.status.success());
    assert!(String::from_utf8_lossy(&no_log.stderr).contains("--log FILE"));
}
