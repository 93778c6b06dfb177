use {
    anyhow::{ensure, Context},
    getopts::Options,
    pitchhitch_core::serving::ServingMechanism,
    std::path::PathBuf,
};

/// What is played.
#[derive(Debug)]
pub struct LabOptions {
    /// File of the load.
    pub load: PathBuf,
    /// Mechanisms that are left out, one at a time.
    pub disabled: Vec<ServingMechanism>,
    /// Whether each mechanism is left out in turn, and the table has a row for each.
    pub compares_each: bool,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// File of a plot.
    pub svg: Option<PathBuf>,
}

impl LabOptions {
    /// Reads the arguments of the command.
    pub fn parse(args: &[String]) -> anyhow::Result<Self> {
        let mut options = Options::new();
        options.reqopt("", "load", "the load, a TOML file", "FILE");
        options.optmulti(
            "",
            "without",
            "leave this out; may be repeated",
            "MECHANISM",
        );
        options.optflag(
            "",
            "each",
            "leave each mechanism out in turn, a row for each",
        );
        options.optopt(
            "",
            "seeds",
            "seeds from the first to the last (1..20)",
            "A..B",
        );
        options.optopt("", "svg", "plot the part in aim over time", "OUT.svg");
        let usage = options.usage("use: load_lab --load FILE");
        let found = options.parse(args).context(usage)?;
        let names = found.opt_strs("without");
        let named = |name: &String| ServingMechanism::from_name(name).map_err(anyhow::Error::msg);
        let disabled: anyhow::Result<_> = names.iter().map(named).collect();
        Ok(LabOptions {
            load: found.opt_str("load").unwrap_or_default().into(),
            disabled: disabled?,
            compares_each: found.opt_present("each"),
            seeds: read_seeds(&found.opt_str("seeds").unwrap_or_else(|| "1..20".into()))?,
            svg: found.opt_str("svg").map(PathBuf::from),
        })
    }

    /// The settings to play: all mechanisms first, then without each that is named.
    pub fn settings(&self) -> Vec<Option<ServingMechanism>> {
        let disabled = match self.compares_each {
            true => ServingMechanism::ALL.to_vec(),
            false => self.disabled.clone(),
        };
        let all_enabled = std::iter::once(None);
        all_enabled.chain(disabled.into_iter().map(Some)).collect()
    }
}

/// Reads `FIRST..LAST`, both of them played, or one seed.
fn read_seeds(text: &str) -> anyhow::Result<Vec<u64>> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| {
        let number = text.trim().parse::<u64>();
        number.with_context(|| format!("seeds: {text} is no number"))
    };
    let seeds: Vec<u64> = (number(first)?..=number(last)?).collect();
    ensure!(!seeds.is_empty(), "seeds: write them as 1..20");
    Ok(seeds)
}
