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

/// Variable that names the settings file on the platform's boxes.
const SETTINGS_VARIABLE: &str = "PITCHHITCH_NODE_FILE";

const HELP: CommandHelp = CommandHelp {
    usage: "front [--settings FILE]",
    about: "Takes requests on a box of the platform until SIGTERM, which cuts off no request.\n\
            Without --settings the file is the one that PITCHHITCH_NODE_FILE names.",
};

/// Runs `pitchhitch front`.
///
/// # Errors
/// [`CliError`] when it cannot run.
pub fn run_front_command(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let named = args.matches.opt_str("settings");
    let file = named
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .ok_or_else(|| {
            CliError::Usage(format!(
                "name a settings file by --settings or in {SETTINGS_VARIABLE}"
            ))
        })?;
    let settings = read_settings(&file).map_err(CliError::Settings)?;
    start_bounded_logging();
    let reload = || read_settings(&file);
    run_front(settings, &reload).map_err(|e| CliError::Failed(format!("{e:#}")))
}

fn read_settings(file: &str) -> Result<FrontSettings, String> {
    let text = fs::read_to_string(file)
        .map_err(|e| format!("{file}: cannot be read: {e}; name a settings file that is there"))?;
    FrontSettings::parse(file, &text).map_err(|e| e.to_string())
}
