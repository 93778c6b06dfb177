use {
    super::EngineAgentContext,
    std::{collections::BTreeMap, fmt::Write},
};

/// Counters of the process, served as text.
#[derive(Debug, Default)]
pub(crate) struct EngineAgentMetrics {
    counts: BTreeMap<(&'static str, String), u64>,
}

impl EngineAgentMetrics {
    /// Increments the counter with this name and label.
    pub fn increment(
        &mut self,
        name: &'static str,
        label: &str,
    ) {
        *self.counts.entry((name, label.to_string())).or_default() += 1;
    }
}

/// Serves the metrics as text.
pub(crate) fn serve_metrics(
    agent: &EngineAgentContext,
    _target: &str,
) -> (u16, Vec<u8>) {
    (200, render_metrics(agent).into_bytes())
}

fn render_metrics(agent: &EngineAgentContext) -> String {
    let state = agent.state();
    let mut text = String::new();
    // Writing to a string does not fail.
    for ((name, label), count) in &state.metrics.counts {
        let _ = writeln!(text, "pitchhitch_beside_{name}{{kind=\"{label}\"}} {count}");
    }
    let load = &state.load;
    let gauges = [
        ("running", u64::from(load.running)),
        ("waiting", u64::from(load.waiting)),
        ("used_tokens", load.used_tokens),
        ("total_tokens", load.total_tokens),
        ("orders_taken", state.orders_taken),
        ("kept_parts", state.cached_parts().len() as u64),
    ];
    for (name, value) in gauges {
        let _ = writeln!(text, "pitchhitch_beside_{name} {value}");
    }
    text
}
