use {
    super::{CliError, EXIT_CODES},
    crate::command::{
        run_apply, run_check, run_drain, run_explain, run_front_command, run_label, run_select,
        run_serve, run_show, run_status, run_suspects,
    },
    std::process::ExitCode,
};

/// A subcommand of `pitchhitch`.
struct CommandSpec {
    name: &'static str,
    summary: &'static str,
    run: fn(&[String]) -> Result<(), CliError>,
}

const COMMANDS: [CommandSpec; 11] = [
    CommandSpec {
        name: "serve",
        summary: "run an entry process",
        run: run_serve,
    },
    CommandSpec {
        name: "front",
        summary: "serve requests on a box of the platform",
        run: run_front_command,
    },
    CommandSpec {
        name: "check",
        summary: "check settings files and report every problem",
        run: run_check,
    },
    CommandSpec {
        name: "label",
        summary: "set or remove labels",
        run: run_label,
    },
    CommandSpec {
        name: "select",
        summary: "set or remove a placement rule",
        run: run_select,
    },
    CommandSpec {
        name: "apply",
        summary: "apply the changes in a file",
        run: run_apply,
    },
    CommandSpec {
        name: "show",
        summary: "show the configuration in force",
        run: run_show,
    },
    CommandSpec {
        name: "drain",
        summary: "take an endpoint out of service and wait until its box may be stopped",
        run: run_drain,
    },
    CommandSpec {
        name: "status",
        summary: "show the status of an entry process",
        run: run_status,
    },
    CommandSpec {
        name: "suspects",
        summary: "list suspect requests, during which endpoints crashed, or release one",
        run: run_suspects,
    },
    CommandSpec {
        name: "explain",
        summary: "explain how a request was routed, or list the holders of a piece",
        run: run_explain,
    },
];

fn print_help() {
    println!("pitchhitch: routes prompts whose cached state is reused after long gaps\n");
    println!("Usage: pitchhitch COMMAND [OPTIONS]\n\nCommands:");
    for command in &COMMANDS {
        println!("    {:10} {}", command.name, command.summary);
    }
    println!("\nRun 'pitchhitch COMMAND --help' for details of a command.\n{EXIT_CODES}");
}

/// Runs `pitchhitch` with the given command line arguments, without the program name.
pub fn run(args: &[String]) -> ExitCode {
    let Some(name) = args.first() else {
        print_help();
        return CliError::Usage(String::new()).exit_code();
    };
    match name.as_str() {
        "--help" | "-h" | "help" => {
            print_help();
            return ExitCode::SUCCESS;
        }
        "--version" | "-V" => {
            println!("pitchhitch {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        eprintln!("pitchhitch: there is no command '{name}'; see pitchhitch --help");
        return CliError::Usage(String::new()).exit_code();
    };
    match (command.run)(&args[1..]) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pitchhitch {name}: {error}");
            error.exit_code()
        }
    }
}
