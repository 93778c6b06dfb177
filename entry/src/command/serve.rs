use {
    super::{CommandArgs, CommandHelp},
    crate::{
        cli::{run_entry, CliError},
        conf::EntrySettings,
    },
    getopts::Options,
    pitchhitch_process::{start_logging, start_traffic_threads},
};

const HELP: CommandHelp = CommandHelp {
    usage: "serve --settings FILE",
    about: "Runs an entry process until SIGTERM; running requests are completed.",
};

/// Runs `pitchhitch serve`.
///
/// # Errors
/// [`CliError`] when the settings are invalid or the process cannot start.
pub fn run_serve(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let read = || {
        let file = args.settings_file()?;
        EntrySettings::parse(&file.path, &file.text).map_err(|e| CliError::Settings(e.to_string()))
    };
    let settings = read()?;
    let reload = || read().map_err(|e| e.to_string());
    start_logging();
    start_traffic_threads(settings.traffic_threads);
    smol::block_on(run_entry(settings, &reload)).map_err(|e| CliError::Failed(format!("{e:#}")))
}
