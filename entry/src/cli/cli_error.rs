use std::{fmt, process::ExitCode};

/// How a command failed; each has its exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliError {
    /// It could not be done.
    Failed(String),
    /// The call was wrong.
    Usage(String),
    /// The settings are wrong.
    Settings(String),
    /// A change was refused; nothing changed.
    Refused(String),
    /// Nobody knows whether a change took effect.
    Unknown(String),
}

/// Exit codes, as `--help` prints them.
pub const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong call, 3 wrong settings, \
     4 change refused, 5 unknown whether the change took effect";

impl CliError {
    /// The exit code.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Failed(_) => 1,
            CliError::Usage(_) => 2,
            CliError::Settings(_) => 3,
            CliError::Refused(_) => 4,
            CliError::Unknown(_) => 5,
        })
    }
}

impl fmt::Display for CliError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            CliError::Failed(text)
            | CliError::Usage(text)
            | CliError::Settings(text)
            | CliError::Refused(text)
            | CliError::Unknown(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for CliError {}
