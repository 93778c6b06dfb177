use {
    super::{KindTally, LoadFile, LoadTally},
    std::fmt::Write,
};

/// Median, minimum and maximum of samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SampleSummary {
    /// Median; the mean of the two middle samples if their number is even.
    pub median: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl SampleSummary {
    /// Summarizes samples; all values are 0 if there are none.
    pub fn from_samples(samples: impl Iterator<Item = f64>) -> Self {
        let mut samples: Vec<f64> = samples.collect();
        samples.sort_by(f64::total_cmp);
        let at = |index: usize| samples.get(index).copied().unwrap_or(0.0);
        let count = samples.len();
        SampleSummary {
            median: (at(count.saturating_sub(1) / 2) + at(count / 2)) / 2.0,
            min: at(0),
            max: at(count.saturating_sub(1)),
        }
    }
}

/// Formats the runs of a load under some seeds as a table.
pub fn load_table(
    load: &LoadFile,
    tallies: &[LoadTally],
) -> String {
    let mut text = String::new();
    let head = "kind                 asked   in aim     late  refused   failed  gave up returned  \
                first ms (p50, p99)  part in aim: median (least to most)";
    let _ = writeln!(text, "{head}");
    for (kind_index, kind) in load.kinds.iter().enumerate() {
        let kinds: Vec<&KindTally> = tallies.iter().map(|t| &t.kinds[kind_index]).collect();
        let _ = writeln!(text, "{:<18}{}", kind.name, kind_row(&kinds));
    }
    let prefilled_again = summarize(tallies, |tally| tally.prefilled_again as f64 / 1e3);
    let fetched_tokens = summarize(tallies, |tally| tally.fetched_tokens as f64 / 1e3);
    let preemptions = summarize(tallies, |tally| f64::from(tally.preemptions));
    let _ = writeln!(
        text,
        "1,000 shared tokens read again: {}",
        format_summary(prefilled_again)
    );
    let _ = writeln!(
        text,
        "1,000 shared tokens fetched: {}",
        format_summary(fetched_tokens)
    );
    let _ = writeln!(text, "put back: {}", format_summary(preemptions));
    text
}

fn summarize(
    tallies: &[LoadTally],
    sample: impl Fn(&LoadTally) -> f64,
) -> SampleSummary {
    SampleSummary::from_samples(tallies.iter().map(sample))
}

fn format_summary(summary: SampleSummary) -> String {
    let SampleSummary { median, min, max } = summary;
    format!("{median:.0} ({min:.0} to {max:.0})")
}

/// Counts are summed over the seeds.
fn kind_row(kinds: &[&KindTally]) -> String {
    let sum = |count: fn(&KindTally) -> u32| kinds.iter().map(|kind| count(kind)).sum::<u32>();
    let counts = [
        sum(|kind| kind.requests),
        sum(|kind| kind.on_time),
        sum(|kind| kind.late),
        sum(|kind| kind.refused),
        sum(|kind| kind.failed),
        sum(|kind| kind.abandoned),
        sum(|kind| kind.retried),
    ];
    let counts: String = counts.iter().map(|count| format!("{count:>9}")).collect();
    let mut first_ms = KindTally::default().first_ms;
    for kind in kinds {
        // Cannot fail: all histograms have the same bounds.
        let _ = first_ms.add(&kind.first_ms);
    }
    let (p50, p99) = (
        first_ms.value_at_quantile(0.5),
        first_ms.value_at_quantile(0.99),
    );
    let fraction = SampleSummary::from_samples(kinds.iter().map(|kind| kind.on_time_fraction()));
    format!(
        "{counts} {p50:>10} {p99:>9}  {:>20.3} ({:.3} to {:.3})",
        fraction.median, fraction.min, fraction.max
    )
}
