use {
    super::{CommandArgs, CommandHelp, SettingsFile},
    crate::{
        cli::CliError,
        conf::{EntrySettings, OperatorSettings},
        front::FrontSettings,
    },
    getopts::Options,
};

const HELP: CommandHelp = CommandHelp {
    usage: "check FILE...",
    about: "Checks settings files of entry processes, fronts and operators and reports every problem.\n\
            A file with the field 'operator' is checked as operator settings, one with 'digests'\n\
            as front settings.\n\
            Agent settings are checked by 'pitchhitch-agent --check --settings FILE'.",
};

/// Runs `pitchhitch check`.
///
/// # Errors
/// [`CliError::Settings`] with every problem of every file.
pub fn run_check(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let mut files = args.matches.free.clone();
    files.extend(args.matches.opt_str("settings"));
    if files.is_empty() {
        return Err(CliError::Usage("FILE is missing; see --help".to_string()));
    }
    let mut problems = Vec::new();
    for file in &files {
        match check_file(file) {
            Ok(()) => println!("{file}: no problems"),
            Err(text) => problems.push(text),
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(CliError::Settings(format!(
            "problems found\n{}",
            problems.join("\n")
        )))
    }
}

fn check_file(file: &str) -> Result<(), String> {
    let text = SettingsFile::read(file).map_err(|e| e.to_string())?.text;
    let checked = if text.contains("\"operator\"") {
        OperatorSettings::parse(file, &text).map(|_| ())
    } else if text.contains("\"digests\"") {
        FrontSettings::parse(file, &text).map(|_| ())
    } else {
        EntrySettings::parse(file, &text).map(|_| ())
    };
    checked.map_err(|e| e.to_string())
}
