use {
    super::{EngineAgentContext, EngineAgentState},
    pitchhitch_core::serving::{EnginePace, RunProgress},
    pitchhitch_http1::{HttpClient, HttpRequest},
    pitchhitch_platform::{decode_report, EngineReport, REPORT_PATH},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Timeout of a report request, which stays within the box.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Successive failed requests after which the engine counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;

/// Polls the engine's report.
pub(crate) async fn poll_reports(agent: Rc<EngineAgentContext>) {
    let mut client = HttpClient::new(agent.settings.engine, REPORT_TIMEOUT);
    let mut failures = 0;
    let mut is_malformed_logged = false;
    loop {
        let request = HttpRequest {
            method: "GET",
            target: REPORT_PATH,
            ..HttpRequest::default()
        };
        let body = client.ok_body(request).await;
        let report = body.and_then(|body| decode_report(&body, agent.now()).ok());
        match report {
            Some(report) => {
                if failures >= SILENT_AFTER_FAILURES {
                    let clock_ms = report.clock_ms.map_or(-1, |clock| clock as i64);
                    log::info!(event = "engine-back", failures = failures, clock_ms = clock_ms; "");
                }
                failures = 0;
                if let Some(field) = report.malformed.filter(|_| !is_malformed_logged) {
                    is_malformed_logged = true;
                    log_malformed(&agent, field);
                }
                agent.state().metrics.increment("reports", "sound");
                apply_report(&agent, report);
            }
            None => {
                failures += 1;
                agent.state().metrics.increment("reports", "missed");
                if failures == SILENT_AFTER_FAILURES {
                    log::warn!(event = "engine-silent"; "");
                }
                agent.state().load.is_silent = failures >= SILENT_AFTER_FAILURES;
            }
        }
        let interval = agent.state().report_interval();
        Timer::after(to_duration(interval)).await;
    }
}

/// Logs a field of a report that counts as not stated.
fn log_malformed(
    agent: &EngineAgentContext,
    field: &str,
) {
    let state = agent.state();
    let address = agent.settings.engine.to_string();
    log::warn!(
        event = "report-malformed",
        engine = state.engine_id.as_deref().unwrap_or(&address),
        field = field,
        remedy = "correct this field in the engine's report; what is malformed counts as not stated";
        ""
    );
}

fn apply_report(
    agent: &EngineAgentContext,
    report: EngineReport,
) {
    let now = agent.now();
    let mut state = agent.state();
    if !state.record_incarnation(report.born, now) {
        return;
    }
    if state.weights != report.weights {
        state.weights_changed_at = now;
        for (model, version) in &report.weights {
            log::info!(event = "weights", model = model.as_str(), version = *version; "");
        }
    }
    let runs: Vec<RunProgress> = report.runs.iter().map(RunProgress::of).collect();
    let pace = record_pace(&mut state, &report, &runs);
    state.growth_tracker.record_report(&runs, now);
    state.load = report.load;
    state.load.pace_us = pace.pace_us;
    state.load.event_gap_us = pace.event_gap_us;
    state.runs = report.runs;
    state.weights = report.weights;
    state.orders_taken = report.orders_taken;
    state.clock_ms = report.clock_ms;
    if state.needs_order() {
        agent.order_due.wake();
    }
}

/// Speed of the engine with this report; unknown right after its weights have changed.
fn record_pace(
    state: &mut EngineAgentState,
    report: &EngineReport,
    runs: &[RunProgress],
) -> EnginePace {
    if report.is_busy || state.weights != report.weights {
        state.pace_tracker.reset();
    }
    state.pace_tracker.record_report(&report.load, runs)
}
