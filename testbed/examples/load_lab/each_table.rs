use {
    super::AimPanel,
    pitchhitch_testbed::load_model::{FigureSpread, KindTally, LoadFile, LoadTally},
    std::fmt::Write,
};

/// A row for each setting: of each kind the median part in aim and the requests
/// refused, late and failed, summed over the seeds; then medians of the rest.
pub fn each_table(
    load: &LoadFile,
    panels: &[AimPanel],
) -> String {
    let mut text = String::from("| setting |");
    for kind in &load.kinds {
        let name = &kind.name;
        let _ = write!(text, " {name} in aim | late | refused | failed |");
    }
    text.push_str(" read again, 1,000 tokens | put back |\n|---|");
    text.push_str(&"---|".repeat(load.kinds.len() * 4 + 2));
    text.push('\n');
    for panel in panels {
        let _ = write!(text, "| {} |", panel.name);
        for place in 0..load.kinds.len() {
            text.push_str(&kind_cells(panel, place));
        }
        let again = median(panel, |tally| tally.read_again as f64 / 1e3);
        let put_back = median(panel, |tally| f64::from(tally.put_back));
        let _ = writeln!(text, " {again:.0} | {put_back:.0} |");
    }
    text
}

fn median(
    panel: &AimPanel,
    figure: impl Fn(&LoadTally) -> f64,
) -> f64 {
    FigureSpread::of(panel.tallies.iter().map(figure)).median
}

fn kind_cells(
    panel: &AimPanel,
    place: usize,
) -> String {
    let part = median(panel, |tally| tally.kinds[place].aim_part());
    let sum = |count: fn(&KindTally) -> u32| -> u32 {
        let kinds = panel.tallies.iter().map(|tally| &tally.kinds[place]);
        kinds.map(count).sum()
    };
    let late = sum(|kind| kind.late);
    let refused = sum(|kind| kind.refused);
    let failed = sum(|kind| kind.failed);
    format!(" {part:.3} | {late} | {refused} | {failed} |")
}
