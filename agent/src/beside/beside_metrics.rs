use {
    super::BesideContext,
    pitchhitch_http1::{answer_small, SmallServer},
    std::{collections::BTreeMap, fmt::Write, net::SocketAddr, rc::Rc},
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

/// Tells the figures at the metrics address.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn serve_metrics(
    beside: Rc<BesideContext>,
    address: SocketAddr,
) -> std::io::Result<()> {
    let server = SmallServer::bind(address).await?;
    let context = beside.clone();
    beside.spawn(async move {
        loop {
            let link = server.next().await;
            let asked = context.clone();
            context.spawn(async move {
                answer_small(link, |_| (200, told(&asked))).await;
            });
        }
    });
    Ok(())
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
