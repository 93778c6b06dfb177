use {
    super::{entry_client, pretty_json, CommandArgs, CommandHelp},
    crate::{
        cli::CliError,
        operators::{StatusReport, STATUS_PATH},
    },
    getopts::Options,
};

const HELP: CommandHelp = CommandHelp {
    usage: "status --settings FILE",
    about: "Shows the status of an entry process: endpoints, peers, stores, counters, and its\n\
            CPU and memory usage.",
};
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Runs `pitchhitch status`.
///
/// # Errors
/// [`CliError`] when the entry process does not respond.
pub fn run_status(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let settings = args.operator_settings()?;
    let client = entry_client(&settings)?;
    let report: StatusReport = smol::block_on(client.get_json(STATUS_PATH))
        .map_err(|e| CliError::Failed(format!("{e}; is the entry process running?")))?;
    if args.wants_json() {
        println!("{}", pretty_json(&report)?);
    } else {
        print_report(&report);
    }
    Ok(())
}

fn print_report(report: &StatusReport) {
    let ready = if report.ready { "ready" } else { "not ready" };
    println!("{}  {ready}  revision {}", report.box_id, report.revision);
    let cpu = 100.0 * report.usage.cpu_seconds / report.up_seconds.max(0.001);
    let memory = report.usage.resident_bytes as f64 / MEBIBYTE;
    println!(
        "running {}  processor {cpu:.1}% of a core  memory {memory:.1} MiB",
        report.running
    );
    println!(
        "pieces {}  prompts {}  stores {}",
        report.pieces,
        report.prompts,
        report.stores.len()
    );
    println!("leases held: {}", report.shards.join(" "));
    for peer in &report.peers {
        println!(
            "peer {}  revision {}  running {}",
            peer.id, peer.revision, peer.running
        );
    }
    for row in &report.endpoints {
        let alive = if row.alive { "usable" } else { "not usable" };
        println!(
            "endpoint {}  {} {}  {alive}  running {}  pending tokens {}  {}",
            row.id,
            row.target,
            row.version,
            row.running,
            row.pending_tokens,
            row.drain.describe()
        );
    }
    for (name, count) in &report.counts {
        println!("count {name} {count}");
    }
}
