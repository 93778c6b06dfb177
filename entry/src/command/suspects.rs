use {
    super::{CommandArgs, CommandShape},
    crate::{
        cli::CliError,
        front::{release_path, FrontSettings, SuspectRow, SUSPECTS_PATH},
    },
    getopts::Options,
    pitchhitch_core::serving::RequestFingerprint,
    pitchhitch_http1::{HttpClient, HttpRequest, HttpResponse},
    std::time::Duration,
};

/// Time limit of a call.
const CALL_LIMIT: Duration = Duration::from_secs(5);

const SHAPE: CommandShape = CommandShape {
    usage: "suspects --settings FILE [--release FINGERPRINT]",
    about: "Shows requests under which endpoints ended, as a front knows them, and lets one go:\n\
            it may run again, at all fronts. FILE is the settings file of the front.",
};

/// Runs `pitchhitch suspects`.
///
/// # Errors
/// [`CliError`] when the front does not answer, or knows of no such request.
pub fn run_suspects(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "release", "let this request go", "FINGERPRINT");
    let Some(args) = CommandArgs::read(SHAPE, options, args)? else {
        return Ok(());
    };
    let text = args.settings_text()?;
    let settings = FrontSettings::parse(&text.file, &text.text)
        .map_err(|e| CliError::Settings(e.to_string()))?;
    match args.matches.opt_str("release") {
        Some(fingerprint) => release(&settings, &fingerprint),
        None => show(&args, &settings),
    }
}

fn show(
    args: &CommandArgs,
    settings: &FrontSettings,
) -> Result<(), CliError> {
    let answer = ask(settings, SUSPECTS_PATH)?;
    let text = String::from_utf8_lossy(&answer.body);
    if args.wants_json() {
        println!("{text}");
        return Ok(());
    }
    let rows: Vec<SuspectRow> = serde_json::from_str(&text)
        .map_err(|e| CliError::Failed(format!("the front's answer cannot be read: {e}")))?;
    if rows.is_empty() {
        println!("no endpoint has ended under a request of late");
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

fn release(
    settings: &FrontSettings,
    fingerprint: &str,
) -> Result<(), CliError> {
    if RequestFingerprint::parse(fingerprint).is_none() {
        let help = "--release takes a fingerprint of 32 hex digits, as the list shows it";
        return Err(CliError::Usage(help.to_string()));
    }
    let answer = ask(
        settings,
        &release_path(fingerprint, settings.peer_key.as_ref()),
    )?;
    println!("{}", String::from_utf8_lossy(&answer.body).trim_end());
    Ok(())
}

fn ask(
    settings: &FrontSettings,
    target: &str,
) -> Result<HttpResponse, CliError> {
    let address = settings.control.unwrap_or(settings.digests);
    let mut client = HttpClient::new(address, CALL_LIMIT);
    let call = HttpRequest {
        method: "GET",
        target,
        ..HttpRequest::default()
    };
    let answer = smol::block_on(client.call(call))
        .map_err(|e| CliError::Failed(format!("{address}: {e}; does the front run?")))?;
    match answer.status {
        200 => Ok(answer),
        status => {
            let text = String::from_utf8_lossy(&answer.body);
            Err(CliError::Failed(format!(
                "{address}: {status}: {}",
                text.trim_end()
            )))
        }
    }
}
