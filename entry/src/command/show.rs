use {
    super::{pretty_json, read_config, CommandArgs, CommandHelp},
    crate::cli::CliError,
    getopts::Options,
    pitchhitch_core::conf::FleetConfig,
};

const HELP: CommandHelp = CommandHelp {
    usage: "show --settings FILE",
    about: "Shows the configuration in force, as stored in the table.",
};

/// Runs `pitchhitch show`.
///
/// # Errors
/// [`CliError`] when the configuration cannot be read from the platform.
pub fn run_show(args: &[String]) -> Result<(), CliError> {
    let Some(args) = CommandArgs::parse(HELP, Options::new(), args)? else {
        return Ok(());
    };
    let settings = args.operator_settings()?;
    let config = read_config(&settings)?;
    if args.wants_json() {
        println!("{}", pretty_json(&config)?);
    } else {
        print_config(&config);
    }
    Ok(())
}

fn print_config(config: &FleetConfig) {
    println!("revision {}", config.revision);
    for (name, conf) in &config.organisations {
        let keys = conf.key_hashes.len();
        println!("organisation/{name}  labels: {}  keys: {keys}", conf.labels);
    }
    for (name, conf) in &config.models {
        for (version, row) in &conf.versions {
            let active = if version == &conf.active {
                "  active"
            } else {
                ""
            };
            println!("version/{name}/{version}  labels: {}{active}", row.labels);
        }
    }
    for (name, conf) in &config.services {
        println!("service/{name}  prefix: {}", conf.prefix);
    }
    for (name, conf) in &config.endpoints {
        println!("endpoint/{name}  labels: {}", conf.labels);
    }
    for (name, rule) in &config.rules {
        let effect = format!("{:?}", rule.effect).to_lowercase();
        println!(
            "rule/{name}  precedence {}  {effect}  work: '{}'  endpoints: '{}'",
            rule.precedence, rule.work, rule.endpoints
        );
    }
}
