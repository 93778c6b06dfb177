use {
    anyhow::{ensure, Context},
    getopts::Options,
    pitchhitch_core::serving::ServingMechanism,
    std::path::PathBuf,
};

/// Command line options.
#[derive(Debug)]
pub struct LabOptions {
    /// TOML file of the load.
    pub load: PathBuf,
    /// Mechanisms to disable, one at a time.
    pub disabled: Vec<ServingMechanism>,
    /// Whether to disable each mechanism in turn and print the comparison table.
    pub compares_each: bool,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// SVG file for the plot, if any.
    pub svg: Option<PathBuf>,
}

impl LabOptions {
    /// Parses the command line arguments.
    pub fn parse(args: &[String]) -> anyhow::Result<Self> {
        let mut options = Options::new();
        options.reqopt("", "load", "the load, a TOML file", "FILE");
        options.optmulti(
            "",
            "without",
            "disable this mechanism; may be repeated",
            "MECHANISM",
        );
        options.optflag(
            "",
            "each",
            "disable each mechanism in turn, with a row for each",
        );
        options.optopt(
            "",
            "seeds",
            "seeds from the first to the last (1..20)",
            "A..B",
        );
        options.optopt("", "svg", "plot the fraction on time over time", "OUT.svg");
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

    /// Settings to simulate: first with all mechanisms, then with each selected one
    /// disabled.
    pub fn settings(&self) -> Vec<Option<ServingMechanism>> {
        let disabled = match self.compares_each {
            true => ServingMechanism::ALL.to_vec(),
            false => self.disabled.clone(),
        };
        let all_enabled = std::iter::once(None);
        all_enabled.chain(disabled.into_iter().map(Some)).collect()
    }
}

/// Parses `FIRST..LAST`, which includes both ends, or a single seed.
fn read_seeds(text: &str) -> anyhow::Result<Vec<u64>> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| {
        let number = text.trim().parse::<u64>();
        number.with_context(|| format!("seeds: {text} is not a number"))
    };
    let seeds: Vec<u64> = (number(first)?..=number(last)?).collect();
    ensure!(!seeds.is_empty(), "seeds: empty range; write them as 1..20");
    Ok(seeds)
}
