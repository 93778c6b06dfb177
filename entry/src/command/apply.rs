use {
    super::{add_change_options, submit_change, CommandArgs, CommandHelp},
    crate::{cli::CliError, conf::OperatorSettings},
    getopts::Options,
    pitchhitch_core::conf::ConfigChange,
    pitchhitch_services::weights::WeightClient,
    std::{fs, time::Duration},
};

const HELP: CommandHelp = CommandHelp {
    usage: "apply --settings FILE CHANGES",
    about: "Applies the changes in the file CHANGES, a JSON list, one after the other.\n\
            This is how organisations, models and services are added and removed.\n\
            The whole file is parsed first; a file that cannot be parsed changes nothing.",
};
/// Timeout of a request to the weight store.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs `pitchhitch apply`.
///
/// # Errors
/// [`CliError`] at the first change that is not confirmed.
pub fn run_apply(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    add_change_options(&mut options);
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let file = args.positional(0, "CHANGES")?;
    let text = fs::read_to_string(file)
        .map_err(|e| CliError::Usage(format!("{file}: cannot be read: {e}")))?;
    let changes: Vec<ConfigChange> = serde_json::from_str(&text)
        .map_err(|e| CliError::Usage(format!("{file}: {e}; expected a JSON list of changes")))?;
    if changes.len() > 1 && args.matches.opt_present("change-id") {
        let text = "--change-id identifies a single change; this file has several";
        return Err(CliError::Usage(text.to_string()));
    }
    let settings = args.operator_settings()?;
    for change in &changes {
        check_active_version(&settings, change)?;
    }
    for change in changes {
        submit_change(&args, &settings, change)?;
    }
    Ok(())
}

/// Rejects a model whose active version is not in the weight store.
fn check_active_version(
    settings: &OperatorSettings,
    change: &ConfigChange,
) -> Result<(), CliError> {
    let (
        Some(address),
        ConfigChange::Model {
            name,
            conf: Some(conf),
        },
    ) = (settings.weights, change)
    else {
        return Ok(());
    };
    let client = WeightClient::new(address, WEIGHT_TIMEOUT);
    match smol::block_on(client.has_version(name, &conf.active)) {
        Ok(true) => Ok(()),
        Ok(false) => {
            let version = &conf.active;
            Err(CliError::Refused(format!(
                "the weight store has no version '{version}' of '{name}'; upload it first"
            )))
        }
        Err(error) => Err(CliError::Failed(error.to_string())),
    }
}
