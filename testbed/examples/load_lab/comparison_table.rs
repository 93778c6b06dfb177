use {
    super::SettingRuns,
    pitchhitch_testbed::load_model::{KindTally, LoadFile, LoadTally, SampleSummary},
    std::fmt::Write,
};

/// Renders one row for each setting; the first setting is the baseline. For each kind
/// of request: the median fraction on time, the number of seeds with more and with
/// fewer requests on time than the baseline, and the late, refused and failed requests
/// of all seeds. The last two columns are medians.
pub fn comparison_table(
    load: &LoadFile,
    runs: &[SettingRuns],
) -> String {
    let mut text = String::from("| setting |");
    for kind in &load.kinds {
        let name = &kind.name;
        let _ = write!(
            text,
            " {name} in aim (seeds +/-) | late | refused | failed |"
        );
    }
    text.push_str(" read again, 1,000 tokens | put back |\n|---|");
    text.push_str(&"---|".repeat(load.kinds.len() * 4 + 2));
    text.push('\n');
    for setting in runs {
        let _ = write!(text, "| {} |", setting.name);
        for kind_index in 0..load.kinds.len() {
            text.push_str(&kind_cells(&runs[0], setting, kind_index));
        }
        let again = median(setting, |tally| tally.prefilled_again as f64 / 1e3);
        let put_back = median(setting, |tally| f64::from(tally.preemptions));
        let _ = writeln!(text, " {again:.0} | {put_back:.0} |");
    }
    text
}

fn median(
    setting: &SettingRuns,
    figure: impl Fn(&LoadTally) -> f64,
) -> f64 {
    SampleSummary::from_samples(setting.tallies.iter().map(figure)).median
}

fn kind_cells(
    baseline: &SettingRuns,
    setting: &SettingRuns,
    kind_index: usize,
) -> String {
    let fraction = median(setting, |tally| tally.kinds[kind_index].on_time_fraction());
    let pairs = || baseline.tallies.iter().zip(&setting.tallies);
    let count = |(before, after): (&LoadTally, &LoadTally)| {
        (
            before.kinds[kind_index].on_time,
            after.kinds[kind_index].on_time,
        )
    };
    let more = pairs().map(count).filter(|(b, a)| a > b).count();
    let fewer = pairs().map(count).filter(|(b, a)| a < b).count();
    let sum = |count: fn(&KindTally) -> u32| -> u32 {
        let kinds = setting.tallies.iter().map(|tally| &tally.kinds[kind_index]);
        kinds.map(count).sum()
    };
    let late = sum(|kind| kind.late);
    let refused = sum(|kind| kind.refused);
    let failed = sum(|kind| kind.failed);
    format!(" {fraction:.3} ({more}/{fewer}) | {late} | {refused} | {failed} |")
}
