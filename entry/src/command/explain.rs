use {
    super::{entry_caller, pretty_json, CommandArgs, CommandShape},
    crate::{
        cli::CliError,
        explain::{DecisionRecord, LogLine, LogStory},
        operators::{PieceReport, EXPLAIN_PREFIX, PIECE_PREFIX},
    },
    getopts::Options,
    pitchhitch_services::http::{CallError, HttpCaller},
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
    },
};

const SHAPE: CommandShape = CommandShape {
    usage:
        "explain --settings FILE REQUEST-ID\n       pitchhitch explain --settings FILE --piece KEY\n       \
         pitchhitch explain --log FILE REQUEST-ID",
    about: "Tells why a recent request went where it went, or who holds a kept piece.\n\
            Decisions are kept in the memory of the entry process that made them; what was\n\
            lost with a process cannot be told.\n\
            With --log the story is read from log lines of any number of processes.",
};

/// Runs `pitchhitch explain`.
///
/// # Errors
/// [`CliError`] when nothing is known.
pub fn run_explain(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "piece", "tell who holds this piece", "KEY");
    options.optopt(
        "l",
        "log",
        "read log lines from here, - for standard input",
        "FILE",
    );
    let Some(args) = CommandArgs::read(SHAPE, options, args)? else {
        return Ok(());
    };
    if let Some(file) = args.matches.opt_str("log") {
        return explain_log(&file, args.free(0, "REQUEST-ID")?);
    }
    let settings = args.operator()?;
    let caller = entry_caller(&settings)?;
    match args.matches.opt_str("piece") {
        Some(key) => explain_piece(&args, &caller, &key),
        None => explain_request(&args, &caller, args.free(0, "REQUEST-ID")?),
    }
}

fn explain_log(
    file: &str,
    request: &str,
) -> Result<(), CliError> {
    let unread = |e: io::Error| CliError::Failed(format!("{file}: cannot be read: {e}"));
    let lines: Box<dyn BufRead> = match file {
        "-" => Box::new(io::stdin().lock()),
        file => Box::new(BufReader::new(File::open(file).map_err(unread)?)),
    };
    let story = LogStory::gather(lines, request).map_err(unread)?;
    if story.broken > 0 {
        eprintln!(
            "{file}: {} lines are no log lines of pitchhitch; passed over",
            story.broken
        );
    }
    if story.own.is_empty() {
        return Err(CliError::Failed(format!(
            "{file}: no line has request={request}; add the logs of the other boxes"
        )));
    }
    print_lines(&story.own);
    if !story.around.is_empty() {
        println!("\nwhat was noticed of the endpoints it went to:");
    }
    print_lines(&story.around);
    Ok(())
}

fn print_lines(lines: &[LogLine]) {
    for line in lines {
        println!(
            "{} {} {}: {}",
            line.time(),
            line.origin,
            line.event(),
            line.told()
        );
    }
}

fn explain_request(
    args: &CommandArgs,
    caller: &HttpCaller,
    request_id: &str,
) -> Result<(), CliError> {
    let path = format!("{EXPLAIN_PREFIX}{request_id}");
    let records: Vec<DecisionRecord> =
        smol::block_on(caller.get_json(&path)).map_err(|e| not_found(e, request_id))?;
    if args.wants_json() {
        println!("{}", pretty_json(&records)?);
        return Ok(());
    }
    for record in &records {
        print_record(record);
    }
    Ok(())
}

fn not_found(
    error: CallError,
    what: &str,
) -> CliError {
    match error {
        CallError::Status { status: 404, .. } => CliError::Failed(format!(
            "nothing is known of '{what}'; it is too old, or its entry process is gone"
        )),
        CallError::Status { status: 400, .. } => {
            CliError::Usage(format!("'{what}' is no key; see --help"))
        }
        other => CliError::Failed(format!("{other}; does the entry process run?")),
    }
}

fn print_record(record: &DecisionRecord) {
    let DecisionRecord {
        request_id,
        attempt,
        chosen,
        reason,
        ..
    } = record;
    println!("{request_id} try {attempt}: {chosen} ({reason})");
    println!(
        "  {} for {}, revision {}, {} candidates, runner-up {} at {} us",
        record.target,
        record.organisation,
        record.revision,
        record.candidates,
        record.runner_up.as_deref().unwrap_or("none"),
        record.runner_up_us.unwrap_or_default()
    );
    println!(
        "  prompt {} tokens: {} reused, {} imported",
        record.input_tokens, record.reused_tokens, record.imported_tokens
    );
    println!(
        "  estimated queue {} us, import {} us, compute {} us; kept afterwards: {}",
        record.queue_us, record.import_us, record.compute_us, record.keep
    );
    let outcome = if record.outcome.is_empty() {
        "still running"
    } else {
        &record.outcome
    };
    println!("  outcome: {outcome}");
}

fn explain_piece(
    args: &CommandArgs,
    caller: &HttpCaller,
    key: &str,
) -> Result<(), CliError> {
    let path = format!("{PIECE_PREFIX}{key}");
    let report: PieceReport =
        smol::block_on(caller.get_json(&path)).map_err(|e| not_found(e, key))?;
    if args.wants_json() {
        println!("{}", pretty_json(&report)?);
        return Ok(());
    }
    if report.holders.is_empty() {
        println!("piece {key}: nobody is known to hold it");
    }
    for holder in &report.holders {
        println!("piece {key}: {} in {}", holder.place, holder.tier);
    }
    Ok(())
}
