use {
    super::{
        poll_cache_changes, poll_reports, poll_stores, receive_datagrams, refresh_snapshot,
        send_digests, send_orders, serve_metrics, serve_snapshot, EngineAgentContext,
        EngineAgentSettings,
    },
    anyhow::Context,
    pitchhitch_http1::serve_paths,
    pitchhitch_process::{finish_log, flush_log, SignalListener},
    pitchhitch_wire::engine_agent::DatagramSocket,
    smol::Timer,
    std::time::Duration,
};

/// Interval at which buffered log lines are written.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the reader of the log before the exit.
const LOG_TIME: Duration = Duration::from_millis(100);

/// Runs the agent of an engine until a stop signal; `reload` reads the settings again.
///
/// # Errors
/// If an address cannot be bound or the signal handlers cannot be installed.
pub async fn run_engine_agent(
    settings: EngineAgentSettings,
    reload: &dyn Fn() -> Result<EngineAgentSettings, String>,
) -> anyhow::Result<()> {
    let mut signals = SignalListener::start().context("cannot install signal handlers")?;
    let socket = DatagramSocket::bind(settings.listen).await;
    let socket = socket.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let socket = socket.with_key(settings.peer_key);
    let agent = EngineAgentContext::new(settings, socket);
    if let Some(metrics) = agent.settings.metrics {
        agent.spawn(serve_paths(metrics, agent.clone(), serve_metrics).await?);
    }
    let listen = agent.settings.listen;
    agent.spawn(serve_paths(listen, agent.clone(), serve_snapshot).await?);
    agent.spawn(refresh_snapshot(agent.clone()));
    agent.spawn(poll_reports(agent.clone()));
    agent.spawn(poll_cache_changes(agent.clone()));
    agent.spawn(receive_datagrams(agent.clone()));
    agent.spawn(send_digests(agent.clone()));
    agent.spawn(send_orders(agent.clone()));
    agent.spawn(poll_stores(agent.clone()));
    agent.spawn(async {
        loop {
            Timer::after(LOG_FLUSH_INTERVAL).await;
            flush_log();
        }
    });
    log::info!(
        event = "started",
        beside = agent.settings.box_id.as_str(),
        engine = agent.settings.engine.to_string().as_str(),
        program = env!("CARGO_PKG_VERSION");
        ""
    );
    let stopped = signals.wait_for_stop(&agent.settings, reload);
    agent.run(stopped).await.context("cannot receive signals")?;
    log::info!(event = "stopped", beside = agent.settings.box_id.as_str(); "");
    finish_log(LOG_TIME);
    Ok(())
}
