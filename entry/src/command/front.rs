use {
    super::{CommandArgs, CommandHelp},
    crate::{
        cli::CliError,
        front::{run_front, FrontSettings},
    },
    getopts::Options,
    pitchhitch_process::start_bounded_logging,
    std::fs,
};

/// Environment variable with the path of the settings file on the platform's boxes.
const SETTINGS_VARIABLE: &str = "PITCHHITCH_NODE_FILE";

const HELP: CommandHelp = CommandHelp {
    usage: "front [--settings FILE]",
    about:
        "Serves requests on a box of the platform until SIGTERM; running requests are completed.\n\
            Without --settings the file named by PITCHHITCH_NODE_FILE is used.",
};

/// Runs `pitchhitch front`.
///
/// # Errors
/// [`CliError`] when the settings are invalid or the front cannot start.
pub fn run_front_command(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let settings_option = args.matches.opt_str("settings");
    let file = settings_option
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .ok_or_else(|| {
            CliError::Usage(format!(
                "--settings FILE is missing and {SETTINGS_VARIABLE} is not set; see --help"
            ))
        })?;
    let settings = read_settings(&file).map_err(CliError::Settings)?;
    start_bounded_logging();
    let reload = || read_settings(&file);
    run_front(settings, &reload).map_err(|e| CliError::Failed(format!("{e:#}")))
}

fn read_settings(file: &str) -> Result<FrontSettings, String> {
    let text = fs::read_to_string(file)
        .map_err(|e| format!("{file}: cannot be read: {e}; check the path"))?;
    FrontSettings::parse(file, &text).map_err(|e| e.to_string())
}
