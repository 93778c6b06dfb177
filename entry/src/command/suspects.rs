use {
    super::{CommandArgs, CommandHelp},
    crate::{
        cli::CliError,
        front::{release_path, FrontSettings, SuspectRow, SUSPECTS_PATH},
    },
    getopts::Options,
    pitchhitch_core::serving::SuspectKey,
    pitchhitch_http1::{HttpClient, HttpRequest, HttpResponse},
    std::time::Duration,
};

/// Timeout of a request to the front.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const HELP: CommandHelp = CommandHelp {
    usage: "suspects --settings FILE [--release FINGERPRINT]",
    about: "Lists the suspect requests that a front knows, during which endpoints crashed, or releases\n\
            one, so that all fronts accept it again. FILE is the settings file of the front.",
};

/// Runs `pitchhitch suspects`.
///
/// # Errors
/// [`CliError`] when the front does not respond or does not know the request.
pub fn run_suspects(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "release", "release this request", "FINGERPRINT");
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let file = args.settings_file()?;
    let settings = FrontSettings::parse(&file.path, &file.text)
        .map_err(|e| CliError::Settings(e.to_string()))?;
    match args.matches.opt_str("release") {
        Some(fingerprint) => release_suspect(&settings, &fingerprint),
        None => list_suspects(&args, &settings),
    }
}

fn list_suspects(
    args: &CommandArgs,
    settings: &FrontSettings,
) -> Result<(), CliError> {
    let response = send_get(settings, SUSPECTS_PATH)?;
    let text = String::from_utf8_lossy(&response.body);
    if args.wants_json() {
        println!("{text}");
        return Ok(());
    }
    let rows: Vec<SuspectRow> = serde_json::from_str(&text)
        .map_err(|e| CliError::Failed(format!("invalid response from the front: {e}")))?;
    if rows.is_empty() {
        println!("no suspect requests");
    }
    for row in rows {
        let left = row
            .left_ms
            .map_or(String::new(), |left| format!("  for {left} ms more"));
        println!(
            "{}  {}{left}  {} ends, the last {} ms ago",
            row.fingerprint,
            row.standing,
            row.crashes,
            row.last_crash_ms.unwrap_or(0)
        );
    }
    Ok(())
}

fn release_suspect(
    settings: &FrontSettings,
    fingerprint: &str,
) -> Result<(), CliError> {
    if SuspectKey::parse(fingerprint).is_none() {
        let text = "--release takes a fingerprint of 32 hex digits, or the id of a prompt part with 16 more, as listed by this command";
        return Err(CliError::Usage(text.to_string()));
    }
    let response = send_get(
        settings,
        &release_path(fingerprint, settings.peer_key.as_ref()),
    )?;
    println!("{}", String::from_utf8_lossy(&response.body).trim_end());
    Ok(())
}

fn send_get(
    settings: &FrontSettings,
    target: &str,
) -> Result<HttpResponse, CliError> {
    let address = settings.control.unwrap_or(settings.digests);
    let mut client = HttpClient::new(address, REQUEST_TIMEOUT);
    let request = HttpRequest {
        method: "GET",
        target,
        ..HttpRequest::default()
    };
    let response = smol::block_on(client.call(request))
        .map_err(|e| CliError::Failed(format!("{address}: {e}; is the front running?")))?;
    match response.status {
        200 => Ok(response),
        status => {
            let text = String::from_utf8_lossy(&response.body);
            Err(CliError::Failed(format!(
                "{address}: {status}: {}",
                text.trim_end()
            )))
        }
    }
}
