use {
    super::{add_change_options, submit_change, CommandArgs, CommandHelp},
    crate::cli::CliError,
    getopts::Options,
    pitchhitch_core::{
        conf::{ConfigChange, PlacementRule, RuleEffect},
        labels::LabelSelector,
    },
};

const HELP: CommandHelp = CommandHelp {
    usage: "select --settings FILE NAME --work SELECTOR --endpoints SELECTOR [--deny] [--precedence N]\n       pitchhitch select --settings FILE NAME --remove",
    about: "Sets or removes a placement rule: which labelled work may be sent to which labelled endpoints.\n\
            Of the rules that match a request's work, those of the highest precedence apply;\n\
            among them --deny overrides the others. Without any rule every endpoint is allowed.",
};

/// Runs `pitchhitch select`.
///
/// # Errors
/// [`CliError`] when the arguments are invalid or the change is not confirmed.
pub fn run_select(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    add_change_options(&mut options);
    options.optopt(
        "",
        "work",
        "work that the rule applies to; empty for all",
        "SELECTOR",
    );
    options.optopt(
        "",
        "endpoints",
        "endpoints that the rule applies to; empty for all",
        "SELECTOR",
    );
    options.optopt("", "precedence", "the highest applies; default 0", "N");
    options.optflag("", "deny", "deny the work at these endpoints");
    options.optflag("", "remove", "remove the rule");
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let name = args.positional(0, "NAME")?.to_string();
    let rule = if args.matches.opt_present("remove") {
        None
    } else {
        Some(parse_rule(&args)?)
    };
    let settings = args.operator_settings()?;
    submit_change(&args, &settings, ConfigChange::Rule { name, rule }).map(|_| ())
}

fn parse_rule(args: &CommandArgs) -> Result<PlacementRule, CliError> {
    let precedence = args
        .matches
        .opt_str("precedence")
        .unwrap_or("0".to_string());
    let precedence = precedence.parse().map_err(|_| {
        CliError::Usage(format!(
            "--precedence: '{precedence}' is not a whole number"
        ))
    })?;
    let effect = if args.matches.opt_present("deny") {
        RuleEffect::Deny
    } else {
        RuleEffect::Allow
    };
    Ok(PlacementRule {
        precedence,
        work: parse_selector(args, "work")?,
        endpoints: parse_selector(args, "endpoints")?,
        effect,
    })
}

fn parse_selector(
    args: &CommandArgs,
    option: &str,
) -> Result<LabelSelector, CliError> {
    let text = args.matches.opt_str(option);
    let text = text.ok_or_else(|| CliError::Usage(format!("--{option} is missing; see --help")))?;
    LabelSelector::parse(&text).map_err(|e| CliError::Usage(format!("--{option}: {e}")))
}
