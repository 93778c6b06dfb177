use {
    hdrhistogram::Histogram,
    std::{cell::RefCell, collections::BTreeMap, fmt::Write},
};

/// Longest time that a histogram distinguishes, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;
/// Significant decimal digits of a histogram's values.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Exported quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters, gauges and histograms of one process, exported as text on request.
#[derive(Debug, Default)]
pub(crate) struct FrontMetrics {
    counts: RefCell<BTreeMap<(&'static str, String), u64>>,
    times: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl FrontMetrics {
    /// Increments the counter of a label.
    pub fn increment(
        &self,
        name: &'static str,
        label: &str,
    ) {
        let mut counts = self.counts.borrow_mut();
        match counts.get_mut(&(name, label.to_string())) {
            Some(count) => *count += 1,
            None => {
                counts.insert((name, label.to_string()), 1);
            }
        }
    }

    /// Replaces all values of a gauge, by label.
    pub fn set_gauge<'a>(
        &self,
        name: &'static str,
        values: impl Iterator<Item = (&'a str, usize)>,
    ) {
        let mut counts = self.counts.borrow_mut();
        counts.retain(|(other, _), _| *other != name);
        counts.extend(values.map(|(label, value)| ((name, label.to_string()), value as u64)));
    }

    /// Records a duration in microseconds.
    pub fn record_time(
        &self,
        name: &'static str,
        micros: u64,
    ) {
        let mut times = self.times.borrow_mut();
        if !times.contains_key(name) {
            let Ok(histogram) = Histogram::new_with_bounds(100, MAX_TIME_US, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            times.insert(name, histogram);
        }
        if let Some(histogram) = times.get_mut(name) {
            histogram.saturating_record(micros.max(100));
        }
    }

    /// All metrics as text, one value per line.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for ((name, label), count) in self.counts.borrow().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "pitchhitch_{name}{{kind=\"{label}\"}} {count}");
        }
        for (name, histogram) in self.times.borrow().iter() {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "pitchhitch_{name}_us{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(text, "pitchhitch_{name}_us_count {}", histogram.len());
        }
        text
    }
}
