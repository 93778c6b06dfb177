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

/// Time limit of one call of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a change is tried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Adds the options that all commands have that change something.
pub fn add_change_options(options: &mut Options) {
    options.optopt(
        "",
        "change-id",
        "id of the change; repeat it to settle a lost answer",
        "ID",
    );
    options.optopt(
        "",
        "expect",
        "refuse unless the configuration is at this revision",
        "REVISION",
    );
}

/// The store of the configuration that the settings name.
pub fn config_store(settings: &OperatorSettings) -> ConfigStore {
    ConfigStore::new(
        TableClient::new(settings.table, PLATFORM_TIMEOUT),
        ObjectClient::new(settings.objects, PLATFORM_TIMEOUT),
    )
}

/// Reads the newest configuration.
///
/// # Errors
/// [`CliError::Failed`] when the platform does not answer.
pub fn read_config(settings: &OperatorSettings) -> Result<FleetConfig, CliError> {
    let store = config_store(settings);
    let read = smol::block_on(store.refresh(&FleetConfig::default()));
    let read = read.map(|fresh| fresh.config);
    read.map_err(|e| CliError::Failed(format!("{e}; check 'table' and 'objects' in the settings")))
}

/// Makes one change and prints what came of it.
///
/// # Errors
/// [`CliError::Refused`] or [`CliError::Unknown`].
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
                    .map_err(|_| CliError::Usage(format!("--expect: '{text}' is no number")))?,
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

/// A change that makes no sense, as a command says it.
pub fn refused(error: ChangeError) -> CliError {
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
