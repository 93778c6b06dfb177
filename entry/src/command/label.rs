use {
    super::{change_options, make_change, refused, CommandArgs, CommandShape},
    crate::cli::CliError,
    getopts::Options,
    pitchhitch_core::conf::{ConfigChange, LabelTarget},
};

const SHAPE: CommandShape = CommandShape {
    usage: "label --settings FILE TARGET KEY=VALUE | TARGET KEY-",
    about: "Sets a label, or removes it with 'KEY-'.\n\
            TARGET is endpoint/NAME, organisation/NAME or version/MODEL/NAME.",
};

/// Runs `pitchhitch label`.
///
/// # Errors
/// [`CliError`] when the change is not known to be in force.
pub fn run_label(args: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    change_options(&mut options);
    let Some(args) = CommandArgs::read(SHAPE, options, args)? else {
        return Ok(());
    };
    let target = LabelTarget::parse(args.free(0, "TARGET")?).map_err(refused)?;
    let change = label_change(target, args.free(1, "KEY=VALUE")?)?;
    let settings = args.operator()?;
    make_change(&args, &settings, change).map(|_| ())
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
            "'{text}': write KEY=VALUE, or KEY- to remove it"
        ))),
    }
}
