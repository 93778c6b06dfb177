use {
    super::BesideContext,
    pitchhitch_http1::{HttpClient, HttpRequest},
    pitchhitch_platform::{decode_report, EngineReport, REPORT_PATH},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Time limit of a report: the way is within the box.
const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// Reports in a row that fail before the engine is called silent.
const SILENT_AFTER: u32 = 2;

/// Reads the engine's report again and again.
pub(crate) async fn watch_engine(beside: Rc<BesideContext>) {
    let mut client = HttpClient::new(beside.settings.engine, REPORT_LIMIT);
    let mut failures = 0;
    loop {
        let call = HttpRequest {
            method: "GET",
            target: REPORT_PATH,
            ..HttpRequest::default()
        };
        let body = client.ok_body(call).await;
        let report = body.and_then(|body| decode_report(&body, beside.now()).ok());
        match report {
            Some(report) => {
                if failures >= SILENT_AFTER {
                    let clock_ms = report.clock_ms.map_or(-1, |clock| clock as i64);
                    log::info!(event = "engine-back", failures = failures, clock_ms = clock_ms; "");
                }
                failures = 0;
                beside.state().metrics.count("reports", "sound");
                take_report(&beside, report);
            }
            None => {
                failures += 1;
                beside.state().metrics.count("reports", "missed");
                if failures == SILENT_AFTER {
                    log::warn!(event = "engine-silent"; "");
                }
                beside.state().load.is_silent = failures >= SILENT_AFTER;
            }
        }
        let pause = beside.state().report_pause();
        Timer::after(to_duration(pause)).await;
    }
}

fn take_report(
    beside: &BesideContext,
    report: EngineReport,
) {
    let now = beside.now();
    let mut state = beside.state();
    if !state.note_life(report.born, now) {
        return;
    }
    if state.weights != report.weights {
        for (model, version) in &report.weights {
            log::info!(event = "weights", model = model.as_str(), version = *version; "");
        }
    }
    state.load = report.load;
    state.weights = report.weights;
    state.orders_taken = report.orders_taken;
    state.clock_ms = report.clock_ms;
    if state.wants_order() {
        beside.order_due.wake();
    }
}
