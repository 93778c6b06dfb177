use {
    super::{entry_client, pretty_json, CommandArgs, CommandHelp},
    crate::{
        cli::CliError,
        explain::{DecisionRecord, LogLine, PrefillSummary, RequestTrace},
        operators::{PieceReport, EXPLAIN_PREFIX, PIECE_PREFIX},
    },
    getopts::Options,
    pitchhitch_services::http::{CallError, ServiceClient},
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
    },
};

const HELP: CommandHelp = CommandHelp {
    usage:
        "explain --settings FILE REQUEST-ID\n       pitchhitch explain --settings FILE --piece KEY\n       \
         pitchhitch explain --log FILE REQUEST-ID\n       \
         pitchhitch explain --log FILE --reads",
    about: "Explains how a recent request was routed, or lists the holders of a cached piece.\n\
            Routing decisions are held in the memory of the entry process that made them and are\n\
            lost when it ends.\n\
            With --log the request is traced in the log lines of any number of processes;\n\
            --reads counts why engines prefilled shared parts of prompts.",
};

/// Runs `pitchhitch explain`.
///
/// # Errors
/// [`CliError`] when the request or piece is unknown, or the log has no line about it.
pub fn run_explain(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "piece", "list the holders of this piece", "KEY");
    options.optopt(
        "l",
        "log",
        "read log lines from this file, - for standard input",
        "FILE",
    );
    options.optflag(
        "",
        "reads",
        "with --log: count why shared parts were prefilled",
    );
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let wants_reads = args.matches.opt_present("reads");
    if let Some(file) = args.matches.opt_str("log") {
        if wants_reads {
            return explain_prefills(&file);
        }
        return explain_log(&file, args.positional(0, "REQUEST-ID")?);
    }
    if wants_reads {
        let text = "--reads requires --log FILE with the log lines of the fronts";
        return Err(CliError::Usage(text.to_string()));
    }
    let settings = args.operator_settings()?;
    let client = entry_client(&settings)?;
    match args.matches.opt_str("piece") {
        Some(key) => explain_piece(&args, &client, &key),
        None => explain_request(&args, &client, args.positional(0, "REQUEST-ID")?),
    }
}

fn read_error(
    file: &str,
    error: &io::Error,
) -> CliError {
    CliError::Failed(format!("{file}: cannot be read: {error}"))
}

fn open_log(file: &str) -> Result<Box<dyn BufRead>, CliError> {
    Ok(match file {
        "-" => Box::new(io::stdin().lock()),
        name => {
            let opened = File::open(name).map_err(|e| read_error(file, &e))?;
            Box::new(BufReader::new(opened))
        }
    })
}

fn warn_malformed(
    file: &str,
    count: u64,
) {
    if count > 0 {
        eprintln!("{file}: {count} lines are not pitchhitch log lines; skipped");
    }
}

fn explain_prefills(file: &str) -> Result<(), CliError> {
    let summary = PrefillSummary::read(open_log(file)?).map_err(|e| read_error(file, &e))?;
    warn_malformed(file, summary.malformed_lines);
    if summary.by_cause.is_empty() {
        return Err(CliError::Failed(format!(
            "{file}: no prompt was sent with shared parts to prefill; add the logs of all fronts"
        )));
    }
    for (cause, totals) in &summary.by_cause {
        println!(
            "{:>12.0} tokens {:>8} parts: {}",
            totals.tokens,
            totals.parts,
            cause.as_str()
        );
    }
    Ok(())
}

fn explain_log(
    file: &str,
    request: &str,
) -> Result<(), CliError> {
    let trace = RequestTrace::read(open_log(file)?, request).map_err(|e| read_error(file, &e))?;
    warn_malformed(file, trace.malformed_lines);
    if trace.request_lines.is_empty() {
        return Err(CliError::Failed(format!(
            "{file}: no line has request={request}; add the logs of the other boxes"
        )));
    }
    print_lines(&trace.request_lines);
    if !trace.endpoint_lines.is_empty() {
        println!("\nevents of the endpoints it was sent to:");
    }
    print_lines(&trace.endpoint_lines);
    Ok(())
}

fn print_lines(lines: &[LogLine]) {
    for line in lines {
        println!(
            "{} {} {}: {}",
            line.time(),
            line.origin,
            line.event(),
            line.details()
        );
    }
}

fn explain_request(
    args: &CommandArgs,
    client: &ServiceClient,
    request_id: &str,
) -> Result<(), CliError> {
    let path = format!("{EXPLAIN_PREFIX}{request_id}");
    let records: Vec<DecisionRecord> =
        smol::block_on(client.get_json(&path)).map_err(|e| lookup_error(e, request_id))?;
    if args.wants_json() {
        println!("{}", pretty_json(&records)?);
        return Ok(());
    }
    for record in &records {
        print_record(record);
    }
    Ok(())
}

fn lookup_error(
    error: CallError,
    what: &str,
) -> CliError {
    match error {
        CallError::Status { status: 404, .. } => CliError::Failed(format!(
            "'{what}' is unknown; it is too old, or its entry process has ended"
        )),
        CallError::Status { status: 400, .. } => {
            CliError::Usage(format!("'{what}' is not a valid key; see --help"))
        }
        other => CliError::Failed(format!("{other}; is the entry process running?")),
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
    client: &ServiceClient,
    key: &str,
) -> Result<(), CliError> {
    let path = format!("{PIECE_PREFIX}{key}");
    let report: PieceReport =
        smol::block_on(client.get_json(&path)).map_err(|e| lookup_error(e, key))?;
    if args.wants_json() {
        println!("{}", pretty_json(&report)?);
        return Ok(());
    }
    if report.holders.is_empty() {
        println!("piece {key}: no known holder");
    }
    for holder in &report.holders {
        println!("piece {key}: {} in {}", holder.place, holder.tier);
    }
    Ok(())
}
