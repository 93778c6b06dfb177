use {
    super::CommandArgs,
    crate::{cli::CliError, conf::OperatorSettings},
    getopts::Options,
    pitchhitch_core::conf::{ChangeError, ConfigChange, FleetConfig},
    pitchhitch_process::{unix_seconds, ProcessClock},
    pitchhitch_services::{
        config::{AcceptedChange, ChangeFailure, ChangeRequest, ConfigStore},
        objects::ObjectClient,
        table::TableClient,
    },
    rand::Rng,
    std::time::Duration,
};

/// Timeout of a request to a service of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a change is no longer retried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Adds the options of the commands that change the configuration.
pub fn add_change_options(options: &mut Options) {
    options.optopt(
        "",
        "change-id",
        "id of the change; reuse it to retry a change whose outcome is unknown",
        "ID",
    );
    options.optopt(
        "",
        "expect",
        "reject the change unless the configuration is at this revision",
        "REVISION",
    );
}

/// Returns the configuration store at the addresses in the settings.
pub fn config_store(settings: &OperatorSettings) -> ConfigStore {
    ConfigStore::new(
        TableClient::new(settings.table, PLATFORM_TIMEOUT),
        ObjectClient::new(settings.objects, PLATFORM_TIMEOUT),
    )
}

/// Reads the current configuration.
///
/// # Errors
/// [`CliError::Failed`] when the configuration cannot be read from the platform.
pub fn read_config(settings: &OperatorSettings) -> Result<FleetConfig, CliError> {
    let store = config_store(settings);
    let current = smol::block_on(store.refresh(&FleetConfig::default()));
    let current = current.map(|c| c.config);
    current
        .map_err(|e| CliError::Failed(format!("{e}; check 'table' and 'objects' in the settings")))
}

/// Submits a change to the configuration, prints the outcome and returns the new revision.
///
/// # Errors
/// [`CliError::Refused`] when the change is rejected, [`CliError::Unknown`] when it is unknown
/// whether it took effect, and [`CliError::Usage`] when `--expect` is not a number.
pub fn submit_change(
    args: &CommandArgs,
    settings: &OperatorSettings,
    change: ConfigChange,
) -> Result<u64, CliError> {
    let change_id = args
        .matches
        .opt_str("change-id")
        .unwrap_or_else(new_change_id);
    let expected = match args.matches.opt_str("expect") {
        None => None,
        Some(text) => {
            let revision = text.parse();
            Some(
                revision
                    .map_err(|_| CliError::Usage(format!("--expect: '{text}' is not a number")))?,
            )
        }
    };
    let request = ChangeRequest {
        change_id: change_id.clone(),
        operator: settings.operator.clone(),
        at_secs: unix_seconds(),
        change,
        expected,
    };
    let store = config_store(settings);
    let seed = ProcessClock::start().incarnation();
    let accepted = smol::block_on(store.change(&request, CHANGE_TIMEOUT, seed));
    let accepted = accepted.map_err(cli_error)?;
    print_accepted(args, &accepted, &change_id);
    Ok(accepted.revision)
}

fn new_change_id() -> String {
    format!("{:032x}", rand::thread_rng().gen::<u128>())
}

fn cli_error(failure: ChangeFailure) -> CliError {
    match failure {
        ChangeFailure::Refused(_) | ChangeFailure::NotAccepted { .. } => {
            CliError::Refused(failure.to_string())
        }
        ChangeFailure::Unknown { .. } => CliError::Unknown(failure.to_string()),
    }
}

/// Converts an invalid change to the error of a command.
pub fn invalid_change(error: ChangeError) -> CliError {
    CliError::Refused(error.to_string())
}

fn print_accepted(
    args: &CommandArgs,
    accepted: &AcceptedChange,
    change_id: &str,
) {
    let AcceptedChange { revision, repeated } = accepted;
    if args.wants_json() {
        println!(
            r#"{{"accepted":true,"revision":{revision},"change_id":"{change_id}","repeated":{repeated}}}"#
        );
    } else if *repeated {
        println!("accepted before as revision {revision}");
    } else {
        println!("accepted as revision {revision}");
    }
}
