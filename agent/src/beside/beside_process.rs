use {
    super::{
        give_orders, hand_copy_on, hear_fronts, keep_state, read_stores, send_digests,
        tell_figures, watch_engine, watch_kept, BesideContext, BesideSettings,
    },
    anyhow::Context,
    pitchhitch_http1::serve_paths,
    pitchhitch_process::{flush_log, ProcessSignal, SignalListener},
    pitchhitch_wire::beside::BesideSocket,
    smol::Timer,
    std::time::Duration,
};

/// How often lines of the log are written out.
const LOG_PAUSE: Duration = Duration::from_millis(250);

/// Runs the process beside an engine until it is asked to stop; `reload` reads
/// the settings again.
///
/// # Errors
/// When an address cannot be bound or a signal cannot be watched.
pub async fn run_beside(
    settings: BesideSettings,
    reload: &dyn Fn() -> Result<BesideSettings, String>,
) -> anyhow::Result<()> {
    let mut signals = SignalListener::start().context("cannot watch signals")?;
    let socket = BesideSocket::bind(settings.listen).await;
    let socket = socket.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let socket = socket.with_key(settings.peer_key);
    let beside = BesideContext::new(settings, socket);
    if let Some(metrics) = beside.settings.metrics {
        beside.spawn(serve_paths(metrics, beside.clone(), tell_figures).await?);
    }
    let listen = beside.settings.listen;
    beside.spawn(serve_paths(listen, beside.clone(), hand_copy_on).await?);
    beside.spawn(keep_state(beside.clone()));
    beside.spawn(watch_engine(beside.clone()));
    beside.spawn(watch_kept(beside.clone()));
    beside.spawn(hear_fronts(beside.clone()));
    beside.spawn(send_digests(beside.clone()));
    beside.spawn(give_orders(beside.clone()));
    beside.spawn(read_stores(beside.clone()));
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
    let stopped = wait_for_stop(&beside, &mut signals, reload);
    beside.run(stopped).await?;
    log::info!(event = "stopped", beside = beside.settings.box_id.as_str(); "");
    flush_log();
    Ok(())
}

/// New settings are checked and compared; what they change needs a restart.
async fn wait_for_stop(
    beside: &BesideContext,
    signals: &mut SignalListener,
    reload: &dyn Fn() -> Result<BesideSettings, String>,
) -> anyhow::Result<()> {
    while signals.next().await.context("cannot watch signals")? == ProcessSignal::Reload {
        match reload() {
            Ok(settings) => {
                let changed = settings != beside.settings;
                log::info!(event = "reload", changed = changed; "");
            }
            Err(error) => log::error!(event = "reload", error = error.as_str(); ""),
        }
    }
    Ok(())
}
