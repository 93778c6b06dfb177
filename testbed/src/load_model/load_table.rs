use {
    super::{KindTally, LoadFile, LoadTally},
    std::fmt::Write,
};

/// Median, least and most of some figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FigureSpread {
    /// Median; the mean of both where two are in the middle.
    pub median: f64,
    /// Least.
    pub least: f64,
    /// Most.
    pub most: f64,
}

impl FigureSpread {
    /// Of some figures; all 0 where there are none.
    pub fn of(figures: impl Iterator<Item = f64>) -> Self {
        let mut figures: Vec<f64> = figures.collect();
        figures.sort_by(f64::total_cmp);
        let at = |place: usize| figures.get(place).copied().unwrap_or(0.0);
        let count = figures.len();
        FigureSpread {
            median: (at(count.saturating_sub(1) / 2) + at(count / 2)) / 2.0,
            least: at(0),
            most: at(count.saturating_sub(1)),
        }
    }
}

/// The runs of a load under some seeds, as a table.
pub fn load_table(
    load: &LoadFile,
    tallies: &[LoadTally],
) -> String {
    let mut text = String::new();
    let head = "kind                 asked   in aim     late  refused   failed  gave up returned  \
                first ms (p50, p99)  part in aim: median (least to most)";
    let _ = writeln!(text, "{head}");
    for (place, kind) in load.kinds.iter().enumerate() {
        let kinds: Vec<&KindTally> = tallies.iter().map(|t| &t.kinds[place]).collect();
        let _ = writeln!(text, "{:<18}{}", kind.name, kind_row(&kinds));
    }
    let again = spread_of(tallies, |tally| tally.read_again as f64 / 1e3);
    let fetched = spread_of(tallies, |tally| tally.fetched as f64 / 1e3);
    let put_back = spread_of(tallies, |tally| f64::from(tally.put_back));
    let _ = writeln!(text, "1,000 shared tokens read again: {}", row(again));
    let _ = writeln!(text, "1,000 shared tokens fetched: {}", row(fetched));
    let _ = writeln!(text, "put back: {}", row(put_back));
    text
}

fn spread_of(
    tallies: &[LoadTally],
    figure: impl Fn(&LoadTally) -> f64,
) -> FigureSpread {
    FigureSpread::of(tallies.iter().map(figure))
}

fn row(spread: FigureSpread) -> String {
    let FigureSpread {
        median,
        least,
        most,
    } = spread;
    format!("{median:.0} ({least:.0} to {most:.0})")
}

/// Counts are summed over the seeds.
fn kind_row(kinds: &[&KindTally]) -> String {
    let sum = |count: fn(&KindTally) -> u32| kinds.iter().map(|kind| count(kind)).sum::<u32>();
    let counts = [
        sum(|kind| kind.asked),
        sum(|kind| kind.in_aim),
        sum(|kind| kind.late),
        sum(|kind| kind.refused),
        sum(|kind| kind.failed),
        sum(|kind| kind.gave_up),
        sum(|kind| kind.returned),
    ];
    let counts: String = counts.iter().map(|count| format!("{count:>9}")).collect();
    let mut first_ms = KindTally::default().first_ms;
    for kind in kinds {
        // All have the same bounds.
        let _ = first_ms.add(&kind.first_ms);
    }
    let (middle, high) = (
        first_ms.value_at_quantile(0.5),
        first_ms.value_at_quantile(0.99),
    );
    let part = FigureSpread::of(kinds.iter().map(|kind| kind.aim_part()));
    format!(
        "{counts} {middle:>10} {high:>9}  {:>20.3} ({:.3} to {:.3})",
        part.median, part.least, part.most
    )
}
