//! The log of a process whose reader is behind.

use {
    pitchhitch_process::{finish_log, start_bounded_logging},
    std::{
        io::Read,
        process::{Command, Stdio},
        thread,
        time::Duration,
    },
};

/// Set in the process that writes the log.
const WRITER_VARIABLE: &str = "PITCHHITCH_TEST_LOG_WRITER";
/// More lines than a pipe holds, and fewer than the buffer of the log holds in addition.
const LINES: usize = 1_200;

/// Writes a log and exits, in the process that the other test starts.
#[test]
fn writer_process() {
    if std::env::var_os(WRITER_VARIABLE).is_none() {
        return;
    }
    start_bounded_logging();
    for number in 0..LINES {
        log::info!(event = "line", number = number, text = "x".repeat(60).as_str(); "");
    }
    log::info!(event = "stopped"; "");
    finish_log(Duration::from_secs(10));
    std::process::exit(0);
}

/// Guards against the loss of the last lines of a process whose reader was behind when it exited.
#[test]
fn last_lines_written() {
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    command
        .args(["--exact", "writer_process", "--nocapture"])
        .env(WRITER_VARIABLE, "1")
        .stdout(Stdio::piped());
    let mut writer = command.spawn().expect("started");
    thread::sleep(Duration::from_millis(500));
    let mut text = String::new();
    let mut output = writer.stdout.take().expect("piped");
    output.read_to_string(&mut text).expect("text");
    writer.wait().expect("ended");
    assert_eq!(text.matches("event=line ").count(), LINES);
    assert!(text.contains("event=stopped"));
}
