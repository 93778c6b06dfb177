use {
    super::BesideContext,
    std::{collections::BTreeMap, fmt::Write},
};

/// Counters of one process, shown as text on request.
#[derive(Debug, Default)]
pub(crate) struct BesideMetrics {
    counts: BTreeMap<(&'static str, String), u64>,
}

impl BesideMetrics {
    /// Counts something under a label.
    pub fn count(
        &mut self,
        name: &'static str,
        label: &str,
    ) {
        *self.counts.entry((name, label.to_string())).or_default() += 1;
    }
}

/// Tells the figures as text.
pub(crate) fn tell_figures(
    beside: &BesideContext,
    _target: &str,
) -> (u16, Vec<u8>) {
    (200, told(beside).into_bytes())
}

fn told(beside: &BesideContext) -> String {
    let state = beside.state();
    let mut text = String::new();
    // Writing to a string does not fail.
    for ((name, label), count) in &state.metrics.counts {
        let _ = writeln!(text, "pitchhitch_beside_{name}{{kind=\"{label}\"}} {count}");
    }
    let load = &state.load;
    let figures = [
        ("running", u64::from(load.running)),
        ("waiting", u64::from(load.waiting)),
        ("used_tokens", load.used_tokens),
        ("total_tokens", load.total_tokens),
        ("orders_taken", state.orders_taken),
        ("kept_parts", state.kept().len() as u64),
    ];
    for (name, value) in figures {
        let _ = writeln!(text, "pitchhitch_beside_{name} {value}");
    }
    text
}
