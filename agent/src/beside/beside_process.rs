use {
    super::{
        give_orders, hear_fronts, send_digests, watch_engine, watch_kept, BesideContext,
        BesideSettings,
    },
    anyhow::Context,
    pitchhitch_process::{flush_log, stop_asked},
    pitchhitch_wire::beside::BesideSocket,
    smol::Timer,
    std::time::Duration,
};

/// How often lines of the log are written out.
const LOG_PAUSE: Duration = Duration::from_millis(250);

/// Runs the process beside an engine until it is asked to stop.
///
/// # Errors
/// When an address cannot be bound or a signal cannot be watched.
pub async fn run_beside(settings: BesideSettings) -> anyhow::Result<()> {
    let socket = BesideSocket::bind(settings.listen).await;
    let socket = socket.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let beside = BesideContext::new(settings, socket);
    beside.spawn(watch_engine(beside.clone()));
    beside.spawn(watch_kept(beside.clone()));
    beside.spawn(hear_fronts(beside.clone()));
    beside.spawn(send_digests(beside.clone()));
    beside.spawn(give_orders(beside.clone()));
    beside.spawn(async {
        loop {
            Timer::after(LOG_PAUSE).await;
            flush_log();
        }
    });
    log::info!(
        event = "started",
        beside = beside.settings.box_id.as_str(),
        engine = beside.settings.engine.to_string().as_str(),
        program = env!("CARGO_PKG_VERSION");
        ""
    );
    beside
        .run(stop_asked())
        .await
        .context("cannot watch signals")?;
    log::info!(event = "stopped", beside = beside.settings.box_id.as_str(); "");
    flush_log();
    Ok(())
}
