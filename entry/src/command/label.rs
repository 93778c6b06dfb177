use {
    super::{add_change_options, invalid_change, submit_change, CommandArgs, CommandHelp},
    crate::cli::CliError,
    getopts::Options,
    pitchhitch_core::conf::{ConfigChange, LabelTarget},
};

const HELP: CommandHelp = CommandHelp {
    usage: "label --settings FILE TARGET KEY=VALUE | TARGET KEY-",
    about: "Sets a label, or removes it with 'KEY-'.\n\
            TARGET is endpoint/NAME, organisation/NAME or version/MODEL/NAME.",
};

/// Runs `pitchhitch label`.
///
/// # Errors
/// [`CliError`] when the arguments are invalid or the change is not confirmed.
pub fn run_label(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    add_change_options(&mut options);
    let Some(args) = CommandArgs::parse(HELP, options, args)? else {
        return Ok(());
    };
    let target = LabelTarget::parse(args.positional(0, "TARGET")?).map_err(invalid_change)?;
    let change = label_change(target, args.positional(1, "KEY=VALUE")?)?;
    let settings = args.operator_settings()?;
    submit_change(&args, &settings, change).map(|_| ())
}

fn label_change(
    target: LabelTarget,
    text: &str,
) -> Result<ConfigChange, CliError> {
    if let Some((key, value)) = text.split_once('=') {
        return Ok(ConfigChange::Label {
            target,
            key: key.to_string(),
            value: Some(value.to_string()),
        });
    }
    match text.strip_suffix('-') {
        Some(key) => Ok(ConfigChange::Label {
            target,
            key: key.to_string(),
            value: None,
        }),
        None => Err(CliError::Usage(format!(
            "'{text}': expected KEY=VALUE, or KEY- to remove the label"
        ))),
    }
}
