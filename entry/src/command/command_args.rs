use {
    crate::{
        cli::{CliError, EXIT_CODES},
        conf::OperatorSettings,
    },
    getopts::{Matches, Options},
    pitchhitch_services::http::ServiceClient,
    std::{fs, time::Duration},
};

/// Time limit of asking an entry process.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of one command, read.
#[derive(Debug)]
pub struct CommandArgs {
    /// What getopts found.
    pub matches: Matches,
}

/// What a command takes besides the common options.
#[derive(Debug, Clone, Copy)]
pub struct CommandHelp {
    /// First line of the help text.
    pub usage: &'static str,
    /// What the command does, in a few lines.
    pub about: &'static str,
}

impl CommandArgs {
    /// Reads arguments; none when the help text was asked for and printed.
    ///
    /// # Errors
    /// [`CliError::Usage`] when they do not fit.
    pub fn parse(
        help: CommandHelp,
        mut options: Options,
        args: &[String],
    ) -> Result<Option<Self>, CliError> {
        options.optopt("s", "settings", "settings file, in JSON", "FILE");
        options.optflag("", "json", "print JSON, for programs");
        options.optflag("h", "help", "print this text");
        let matches = options.parse(args);
        let matches = matches.map_err(|e| CliError::Usage(format!("{e}; see --help")))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: pitchhitch {}\n\n{}", help.usage, help.about);
            println!("{}\n{EXIT_CODES}", options.usage(&brief));
            return Ok(None);
        }
        Ok(Some(CommandArgs { matches }))
    }

    /// Whether JSON is wanted.
    pub fn wants_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// One free argument.
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

    /// The settings file's name and text.
    ///
    /// # Errors
    /// [`CliError`] when none is named or it cannot be read.
    pub fn settings_text(&self) -> Result<SettingsText, CliError> {
        let file = self.matches.opt_str("settings");
        let file =
            file.ok_or_else(|| CliError::Usage("--settings FILE is missing; see --help".into()))?;
        SettingsText::read(&file)
    }

    /// The settings for operators.
    ///
    /// # Errors
    /// [`CliError`] when there are none that can be used.
    pub fn operator_settings(&self) -> Result<OperatorSettings, CliError> {
        let text = self.settings_text()?;
        OperatorSettings::parse(&text.file, &text.text)
            .map_err(|e| CliError::Settings(e.to_string()))
    }
}

/// A settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsText {
    /// Its name.
    pub file: String,
    /// Its text.
    pub text: String,
}

impl SettingsText {
    /// Reads a file.
    ///
    /// # Errors
    /// [`CliError::Settings`] when it cannot be read.
    pub fn read(file: &str) -> Result<Self, CliError> {
        let text = fs::read_to_string(file).map_err(|e| {
            CliError::Settings(format!(
                "{file}: cannot be read: {e}; name a file that is there"
            ))
        })?;
        Ok(SettingsText {
            file: file.to_string(),
            text,
        })
    }
}

/// A caller of the entry process that the settings name.
///
/// # Errors
/// [`CliError::Settings`] when they name none.
pub fn entry_client(settings: &OperatorSettings) -> Result<ServiceClient, CliError> {
    let entry = settings.entry.ok_or_else(|| {
        let text = "the settings name no 'entry'; add the operator address of an entry process";
        CliError::Settings(text.to_string())
    })?;
    Ok(ServiceClient::new(entry, ENTRY_TIMEOUT))
}

/// A value as JSON for people and programs.
///
/// # Errors
/// [`CliError::Failed`] when it cannot be written as JSON.
pub fn pretty_json(value: &impl serde::Serialize) -> Result<String, CliError> {
    serde_json::to_string_pretty(value).map_err(|e| CliError::Failed(e.to_string()))
}
