use {
    super::SettingRuns,
    pitchhitch_testbed::load_model::{LoadFile, SecondTally},
    plotters::{coord::Shift, prelude::*},
    std::path::Path,
};

/// Width and height of one panel, in pixels.
const PANEL_SIZE: (u32, u32) = (560, 360);
const PANELS_PER_ROW: usize = 2;

/// Plots the fraction of requests that were on time by the second of their arrival,
/// over all seeds: one panel for each setting, one line for each kind of request.
pub fn draw_on_time(
    out: &Path,
    load: &LoadFile,
    runs: &[SettingRuns],
) -> anyhow::Result<()> {
    let columns = runs.len().clamp(1, PANELS_PER_ROW);
    let rows = runs.len().div_ceil(columns).max(1);
    let size = (PANEL_SIZE.0 * columns as u32, PANEL_SIZE.1 * rows as u32);
    let area = SVGBackend::new(out, size).into_drawing_area();
    area.fill(&WHITE)?;
    let panels = area.split_evenly((rows, columns));
    for (setting, panel) in runs.iter().zip(&panels) {
        draw_panel(panel, load, setting)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, Shift>,
    load: &LoadFile,
    setting: &SettingRuns,
) -> anyhow::Result<()> {
    let mut chart = ChartBuilder::on(panel)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .caption(&setting.name, ("sans-serif", 16))
        .build_cartesian_2d(0.0..load.length_s, 0.0..1.02)?;
    chart
        .configure_mesh()
        .x_desc("second in which it was asked")
        .y_desc("part in aim")
        .draw()?;
    for (number, kind) in load.kinds.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(
                on_time_line(setting, number),
                color.stroke_width(2),
            ))?
            .label(kind.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

fn on_time_line(
    setting: &SettingRuns,
    kind: usize,
) -> Vec<(f64, f64)> {
    let mut seconds: Vec<SecondTally> = Vec::new();
    for tally in &setting.tallies {
        let kind_seconds = &tally.kinds[kind].seconds;
        seconds.resize(
            seconds.len().max(kind_seconds.len()),
            SecondTally::default(),
        );
        for (sum, second) in seconds.iter_mut().zip(kind_seconds) {
            sum.eligible += second.eligible;
            sum.on_time += second.on_time;
        }
    }
    let numbered = seconds.iter().enumerate();
    let with_requests = numbered.filter(|(_, second)| second.eligible > 0);
    let fraction = |second: &SecondTally| f64::from(second.on_time) / f64::from(second.eligible);
    with_requests
        .map(|(number, second)| (number as f64 + 0.5, fraction(second)))
        .collect()
}
