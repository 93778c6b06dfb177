use {
    super::run_agent,
    crate::{
        conf::AgentSettings,
        engine_agent::{run_engine_agent, EngineAgentSettings},
    },
    getopts::{Matches, Options},
    pitchhitch_process::{finish_log, start_bounded_logging, start_logging, start_traffic_threads},
    std::{env, fmt::Display, fs, process::ExitCode, time::Duration},
};

/// Environment variable with the path of the settings file on the platform's boxes.
const SETTINGS_VARIABLE: &str = "PITCHHITCH_NODE_FILE";
/// Exit code for a usage error.
const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 3;
/// Exit code for a failure at run time.
const EXIT_FAILED: u8 = 1;
/// Longest wait for the reader of the log before the exit.
const LOG_TIME: Duration = Duration::from_millis(100);

/// What the agent runs for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentMode {
    /// An endpoint of a deployment without the platform.
    Endpoint,
    /// An engine of the platform.
    Engine,
}

impl AgentMode {
    fn command(self) -> &'static str {
        match self {
            AgentMode::Endpoint => "pitchhitch-agent",
            AgentMode::Engine => "pitchhitch-agent beside",
        }
    }

    /// Returns the path of the settings file, if one is given.
    fn settings_file(
        self,
        matches: &Matches,
    ) -> Option<String> {
        let given = matches.opt_str("settings");
        match self {
            AgentMode::Endpoint => given,
            AgentMode::Engine => given.or_else(|| env::var(SETTINGS_VARIABLE).ok()),
        }
    }

    fn usage(self) -> String {
        let missing = match self {
            AgentMode::Endpoint => "--settings FILE is missing".to_string(),
            AgentMode::Engine => {
                format!("--settings FILE is missing and {SETTINGS_VARIABLE} is not set")
            }
        };
        format!("{missing}; see {} --help", self.command())
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file, in JSON", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the agent with the arguments of a command line.
pub fn run(args: &[String]) -> ExitCode {
    let (mode, args) = match args.split_first() {
        Some((subcommand, rest)) if subcommand == "beside" => (AgentMode::Engine, rest),
        _ => (AgentMode::Endpoint, args),
    };
    let matches = match options().parse(args) {
        Ok(matches) => matches,
        Err(error) => return exit_usage(mode, format!("{error}; see {} --help", mode.command())),
    };
    if matches.opt_present("help") {
        print_help();
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("pitchhitch-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = mode.settings_file(&matches) else {
        return exit_usage(mode, mode.usage());
    };
    let check_only = matches.opt_present("check");
    let result = match mode {
        AgentMode::Endpoint => run_endpoint(&file, check_only),
        AgentMode::Engine => run_engine(&file, check_only),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => code,
    }
}

fn print_help() {
    let usage = options().usage("pitchhitch-agent [beside] --settings FILE");
    print!("{usage}");
    println!("\n'beside' runs the agent of a platform engine. Without --settings the file");
    println!("named by {SETTINGS_VARIABLE} is used.");
    println!("\nExit codes: 0 success, 1 failure, 2 usage error, 3 invalid settings");
}

fn run_endpoint(
    file: &str,
    check_only: bool,
) -> Result<(), ExitCode> {
    let read = || read_settings(file, AgentSettings::parse);
    let settings = read().map_err(exit_settings)?;
    if check_only {
        println!("{file}: no problems");
        return Ok(());
    }
    start_logging();
    start_traffic_threads(settings.traffic_threads);
    smol::block_on(run_agent(settings, &read)).map_err(exit_failed)
}

fn run_engine(
    file: &str,
    check_only: bool,
) -> Result<(), ExitCode> {
    let read = || read_settings(file, EngineAgentSettings::parse);
    let settings = read().map_err(exit_settings)?;
    if check_only {
        println!("{file}: no problems");
        return Ok(());
    }
    start_bounded_logging();
    smol::block_on(run_engine_agent(settings, &read)).map_err(exit_failed)
}

fn read_settings<S, E: Display>(
    file: &str,
    parse: impl Fn(&str, &str) -> Result<S, E>,
) -> Result<S, String> {
    let text = fs::read_to_string(file)
        .map_err(|e| format!("{file}: cannot be read: {e}; check the path"))?;
    parse(file, &text).map_err(|e| e.to_string())
}

fn exit_usage(
    mode: AgentMode,
    text: String,
) -> ExitCode {
    eprintln!("{}: {text}", mode.command());
    ExitCode::from(EXIT_USAGE)
}

fn exit_settings(text: String) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(EXIT_SETTINGS)
}

fn exit_failed(error: anyhow::Error) -> ExitCode {
    log::error!(event = "failed", error = format!("{error:#}").as_str(); "");
    finish_log(LOG_TIME);
    ExitCode::from(EXIT_FAILED)
}
