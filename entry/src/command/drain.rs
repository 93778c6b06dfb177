use {
    super::{add_change_options, entry_client, submit_change, CommandArgs, CommandHelp},
    crate::{
        cli::CliError,
        operators::{DrainReport, DRAIN_PREFIX},
    },
    getopts::Options,
    pitchhitch_core::{
        conf::{ConfigChange, LabelTarget, LEAVING_LABEL},
        drain::DrainState,
    },
    pitchhitch_services::http::ServiceClient,
    smol::Timer,
    std::time::{Duration, Instant},
};

const HELP: CommandHelp = CommandHelp {
    usage: "drain --settings FILE ENDPOINT [--undo] [--no-wait] [--timeout SECONDS]",
    about:
        "Takes an endpoint out of service by setting the label 'leaving', waits until no request\n\
            runs on it, and reports when its box may be stopped.",
};
/// Default of `--timeout`.
const DEFAULT_TIMEOUT_S: u64 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs `pitchhitch drain`.
///
/// # Errors
/// [`CliError`] when the change fails or the endpoint is not drained before the timeout.
pub fn run_drain(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    add_change_options(&mut options);
    options.optflag("", "undo", "return the endpoint to service");
    options.optflag("", "no-wait", "do not wait until it is drained");
    options.optopt("", "timeout", "longest wait; default 600", "SECONDS");
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let endpoint = args.positional(0, "ENDPOINT")?.to_string();
    let timeout = match args.matches.opt_str("timeout") {
        None => DEFAULT_TIMEOUT_S,
        Some(text) => text
            .parse()
            .map_err(|_| CliError::Usage(format!("--timeout: '{text}' is not a whole number")))?,
    };
    let undo = args.matches.opt_present("undo");
    let settings = args.operator_settings()?;
    let change = ConfigChange::Label {
        target: LabelTarget::Endpoint(endpoint.clone()),
        key: LEAVING_LABEL.to_string(),
        value: (!undo).then(|| "true".to_string()),
    };
    submit_change(&args, &settings, change)?;
    if undo || args.matches.opt_present("no-wait") {
        return Ok(());
    }
    let client = entry_client(&settings)?;
    let wait = wait_until_drained(&args, &client, &endpoint, Duration::from_secs(timeout));
    smol::block_on(wait)
}

async fn wait_until_drained(
    args: &CommandArgs,
    client: &ServiceClient,
    endpoint: &str,
    timeout: Duration,
) -> Result<(), CliError> {
    let path = format!("{DRAIN_PREFIX}{endpoint}");
    let started = Instant::now();
    let mut last = None;
    loop {
        let report: Result<DrainReport, _> = client.get_json(&path).await;
        let state = report.map(|r| r.state);
        match &state {
            Ok(state) if last.as_ref() != Some(state) => {
                print_state(args, endpoint, state);
                last = Some(*state);
            }
            Ok(_) => {}
            Err(error) => eprintln!("{error}"),
        }
        if state == Ok(DrainState::MayStop) {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            let reason = last.map_or("no status was received".to_string(), |s| s.describe());
            let text = format!("{endpoint} is not drained after {timeout:?}: {reason}");
            return Err(CliError::Failed(text));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn print_state(
    args: &CommandArgs,
    endpoint: &str,
    state: &DrainState,
) {
    if args.wants_json() {
        let state = serde_json::to_string(state).unwrap_or_default();
        println!(r#"{{"endpoint":"{endpoint}","state":{state}}}"#);
    } else {
        println!("{endpoint}: {}", state.describe());
    }
}
