use {
    super::run_agent,
    crate::{
        beside::{run_beside, BesideSettings},
        conf::AgentSettings,
    },
    getopts::Options,
    pitchhitch_process::{flush_log, start_bounded_logging, start_logging, start_traffic},
    std::{fs, process::ExitCode},
};

/// Variable that names the settings file on the platform's boxes.
const SETTINGS_VARIABLE: &str = "PITCHHITCH_NODE_FILE";
/// The call was wrong.
const EXIT_USAGE: u8 = 2;
/// The settings are wrong.
const EXIT_SETTINGS: u8 = 3;
/// The process failed.
const EXIT_FAILED: u8 = 1;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file, in JSON", "FILE");
    options.optflag("c", "check", "check the settings and end");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the agent with the arguments of a command line.
pub fn run(args: &[String]) -> ExitCode {
    if args.first().is_some_and(|word| word == "beside") {
        return run_beside_command(&args[1..]);
    }
    let matches = match options().parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("pitchhitch-agent: {error}; see pitchhitch-agent --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options().usage("pitchhitch-agent [beside] --settings FILE")
        );
        println!("\n'beside' stands beside an engine of the platform; its settings file may also");
        println!("be named by {SETTINGS_VARIABLE}.");
        println!("\nExit codes: 0 done, 1 failed, 2 wrong call, 3 wrong settings");
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("pitchhitch-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("pitchhitch-agent: --settings FILE is missing; see pitchhitch-agent --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: no problems");
        return ExitCode::SUCCESS;
    }
    start_logging();
    start_traffic(settings.traffic_threads);
    match smol::block_on(run_agent(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "failed", error = format!("{error:#}").as_str(); "");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_beside_command(args: &[String]) -> ExitCode {
    let matches = match options().parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("pitchhitch-agent beside: {error}; see pitchhitch-agent --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let named = matches.opt_str("settings");
    let Some(file) = named.or_else(|| std::env::var(SETTINGS_VARIABLE).ok()) else {
        eprintln!(
            "pitchhitch-agent beside: name a settings file by --settings or in {SETTINGS_VARIABLE}"
        );
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match read_beside_settings(&file) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: no problems");
        return ExitCode::SUCCESS;
    }
    start_bounded_logging();
    let reload = || read_beside_settings(&file);
    match smol::block_on(run_beside(settings, &reload)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "failed", error = format!("{error:#}").as_str(); "");
            flush_log();
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn read_beside_settings(file: &str) -> Result<BesideSettings, String> {
    let text = fs::read_to_string(file)
        .map_err(|e| format!("{file}: cannot be read: {e}; name a settings file that is there"))?;
    BesideSettings::parse(file, &text).map_err(|e| e.to_string())
}

fn read_settings(file: &str) -> Result<AgentSettings, String> {
    let text = fs::read_to_string(file)
        .map_err(|e| format!("{file}: cannot be read: {e}; name a settings file that is there"))?;
    AgentSettings::parse(file, &text).map_err(|e| e.to_string())
}
