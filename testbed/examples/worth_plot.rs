//! Plots the worth (`G`) of the days in journal entries as an SVG bar chart:
//! `cargo run --example worth_plot -- OUT.svg LABEL=ENTRY.json,ENTRY.json...`
//!
//! Days are grouped by site and name, with one bar for each label.

use {
    anyhow::{ensure, Context},
    plotters::prelude::*,
    serde::Deserialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        env, fs,
        path::Path,
    },
};

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_200, 420);
/// Fraction of a day's width on the axis that its bars fill together.
const BAR_GROUP_FRACTION: f64 = 0.8;

#[derive(Debug, Deserialize)]
struct JournalDay {
    name: String,
    #[serde(rename = "G")]
    worth: f64,
}

#[derive(Debug, Deserialize)]
struct JournalEntry {
    site: String,
    days: Vec<JournalDay>,
}

/// Worth of days under one label, by site and name.
struct WorthRow {
    label: String,
    days: BTreeMap<String, f64>,
}

fn read_row(arg: &str) -> anyhow::Result<WorthRow> {
    let (label, files) = arg
        .split_once('=')
        .with_context(|| format!("{arg}: expected LABEL=ENTRY.json"))?;
    let mut days = BTreeMap::new();
    for file in files.split(',') {
        let text = fs::read_to_string(file)
            .with_context(|| format!("{file}: cannot read the journal entry"))?;
        let entry: JournalEntry = serde_json::from_str(&text).with_context(|| {
            format!("{file}: not a journal entry with days; give a run or a score")
        })?;
        let keyed = |day: JournalDay| (format!("{} {}", entry.site, day.name), day.worth);
        days.extend(entry.days.into_iter().map(keyed));
    }
    Ok(WorthRow {
        label: label.to_string(),
        days,
    })
}

fn draw(
    out: &Path,
    rows: &[WorthRow],
) -> anyhow::Result<()> {
    let names: BTreeSet<&str> = rows
        .iter()
        .flat_map(|row| row.days.keys().map(String::as_str))
        .collect();
    let names: Vec<&str> = names.into_iter().collect();
    let area = SVGBackend::new(out, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .caption("worth by day", ("sans-serif", 18))
        .build_cartesian_2d(0.0..names.len() as f64, 0.0..1.0)?;
    let name_at = |index: &f64| match index.fract() == 0.5 {
        true => names.get(*index as usize).map_or("", |name| name),
        false => "",
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() * 2 + 1)
        .x_label_formatter(&|index| name_at(index).to_string())
        .y_desc("worth")
        .draw()?;
    let width = BAR_GROUP_FRACTION / rows.len() as f64;
    for (number, row) in rows.iter().enumerate() {
        let color = Palette99::pick(number).mix(0.9);
        let bars = row.days.iter().map(|(name, worth)| {
            let index = names.iter().position(|known| known == name);
            let left = index.unwrap_or(0) as f64
                + (1.0 - BAR_GROUP_FRACTION) / 2.0
                + number as f64 * width;
            let top = worth.clamp(0.0, 1.0);
            Rectangle::new([(left, 0.0), (left + width, top)], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(row.label.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    ensure!(
        args.len() >= 2,
        "use: worth_plot OUT.svg LABEL=ENTRY.json..."
    );
    let rows: anyhow::Result<Vec<WorthRow>> = args[1..].iter().map(|arg| read_row(arg)).collect();
    draw(Path::new(&args[0]), &rows?)
}
