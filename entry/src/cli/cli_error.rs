use std::{fmt, process::ExitCode};

/// Why a command failed; each variant has its own exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliError {
    /// The command could not be carried out.
    Failed(String),
    /// The arguments are invalid.
    Usage(String),
    /// The settings are invalid.
    Settings(String),
    /// A change was rejected; nothing changed.
    Refused(String),
    /// It is unknown whether a change took effect.
    Unknown(String),
}

/// Exit codes, as `--help` prints them.
pub const EXIT_CODES: &str =
    "Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid settings, \
     4 change rejected, 5 unknown whether the change took effect";

impl CliError {
    /// Returns the exit code of the process.
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
