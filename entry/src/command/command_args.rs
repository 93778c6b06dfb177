use {
    crate::{
        cli::{CliError, EXIT_CODES},
        conf::OperatorSettings,
    },
    getopts::{Matches, Options},
    pitchhitch_services::http::ServiceClient,
    std::{fs, time::Duration},
};

/// Timeout of a request to an entry process.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Parsed arguments of a command.
#[derive(Debug)]
pub struct CommandArgs {
    /// Options and positional arguments, as getopts found them.
    pub matches: Matches,
}

/// Help text of a command; the options are added to it.
#[derive(Debug, Clone, Copy)]
pub struct CommandHelp {
    /// Usage line, without the program name.
    pub usage: &'static str,
    /// What the command does, in a few lines.
    pub about: &'static str,
}

impl CommandArgs {
    /// Parses arguments, with the common options; `None` if `--help` was given and the help text was
    /// printed.
    ///
    /// # Errors
    /// [`CliError::Usage`] when the arguments are invalid.
    pub fn parse(
        help: CommandHelp,
        mut options: Options,
        args: &[String],
    ) -> Result<Option<Self>, CliError> {
        options.optopt("s", "settings", "settings file, in JSON", "FILE");
        options.optflag("", "json", "print JSON, for programs");
        options.optflag("h", "help", "print this help");
        let matches = options.parse(args);
        let matches = matches.map_err(|e| CliError::Usage(format!("{e}; see --help")))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: pitchhitch {}\n\n{}", help.usage, help.about);
            println!("{}\n{EXIT_CODES}", options.usage(&brief));
            return Ok(None);
        }
        Ok(Some(CommandArgs { matches }))
    }

    /// Whether JSON output was requested.
    pub fn wants_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// The positional argument at `index`.
    ///
    /// # Errors
    /// [`CliError::Usage`] when it is missing.
    pub fn positional(
        &self,
        index: usize,
        name: &str,
    ) -> Result<&str, CliError> {
        let found = self.matches.free.get(index).map(String::as_str);
        found.ok_or_else(|| CliError::Usage(format!("{name} is missing; see --help")))
    }

    /// Reads the settings file.
    ///
    /// # Errors
    /// [`CliError`] when `--settings` is missing or the file cannot be read.
    pub fn settings_file(&self) -> Result<SettingsFile, CliError> {
        let file = self.matches.opt_str("settings");
        let file =
            file.ok_or_else(|| CliError::Usage("--settings FILE is missing; see --help".into()))?;
        SettingsFile::read(&file)
    }

    /// Reads the settings file as operator settings.
    ///
    /// # Errors
    /// [`CliError`] when `--settings` is missing, or the file cannot be read or is invalid.
    pub fn operator_settings(&self) -> Result<OperatorSettings, CliError> {
        let file = self.settings_file()?;
        OperatorSettings::parse(&file.path, &file.text)
            .map_err(|e| CliError::Settings(e.to_string()))
    }
}

/// Name and content of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: String,
    /// Content of the file.
    pub text: String,
}

impl SettingsFile {
    /// Reads a file.
    ///
    /// # Errors
    /// [`CliError::Settings`] when it cannot be read.
    pub fn read(path: &str) -> Result<Self, CliError> {
        let text = fs::read_to_string(path).map_err(|e| {
            CliError::Settings(format!("{path}: cannot be read: {e}; check the path"))
        })?;
        Ok(SettingsFile {
            path: path.to_string(),
            text,
        })
    }
}

/// Creates a client for the entry process in the settings.
///
/// # Errors
/// [`CliError::Settings`] when the settings have no entry process.
pub fn entry_client(settings: &OperatorSettings) -> Result<ServiceClient, CliError> {
    let entry = settings.entry.ok_or_else(|| {
        let text = "the settings have no 'entry'; add the operator address of an entry process";
        CliError::Settings(text.to_string())
    })?;
    Ok(ServiceClient::new(entry, ENTRY_TIMEOUT))
}

/// Serialises a value as indented JSON.
///
/// # Errors
/// [`CliError::Failed`] when the value cannot be serialised.
pub fn pretty_json(value: &impl serde::Serialize) -> Result<String, CliError> {
    serde_json::to_string_pretty(value).map_err(|e| CliError::Failed(e.to_string()))
}
