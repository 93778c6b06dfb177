//! Latency that an entry process and an idempotency key add to a request.

use {
    crate::{
        bench_setup::{bench_shape, chat_request, new_histogram, print_row},
        load_figures::STREAMS,
    },
    hdrhistogram::Histogram,
    pitchhitch_process::spawn,
    pitchhitch_testbed::{
        deploy::{ChildEngine, Deployment, DeploymentShape, EngineRates, ProgramSet},
        replay::{CallerClient, RequestHeader},
    },
    smol::Timer,
    std::{net::SocketAddr, time::Duration},
};

pub async fn measure_added_latency() -> anyhow::Result<()> {
    let mut deployment =
        Deployment::start(bench_shape("delay"), ProgramSet::current_exe()?).await?;
    let rates = EngineRates {
        prefill_micros: 0,
        decode_micros: 20_000,
        threads: 2,
    };
    let engine = ChildEngine::start(rates, deployment.folder(), "engine").await?;
    deployment.add_external_engine(0, engine.address).await?;
    deployment.wait_ready().await?;
    let entry = deployment.entry_boxes[0].callers;
    let key = deployment
        .shape
        .api_key(&deployment.shape.organisation_name(1));
    let mut direct = new_histogram()?;
    let mut through = new_histogram()?;
    for _ in 0..3 {
        direct.add(measure_first_token(engine.address, "").await?)?;
        through.add(measure_first_token(entry, &key).await?)?;
    }
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    let added = |q: f64| at(&through, q) - at(&direct, q);
    let each = |q: f64| {
        format!(
            "{:.2} ms ({:.2} - {:.2})",
            added(q),
            at(&through, q),
            at(&direct, q)
        )
    };
    print_row(
        "time to first token, through less direct, median, 500 streams",
        each(0.5),
        "1 ms",
    );
    print_row("the same, p99", each(0.99), "3 ms");
    Ok(())
}

pub async fn measure_first_token(
    address: SocketAddr,
    key: &str,
) -> anyhow::Result<Histogram<u64>> {
    let client = CallerClient::default();
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let client = client.clone();
        let request = chat_request(address, key, 40);
        tasks.push(spawn(async move {
            // The starts are spread over about the duration of one stream.
            Timer::after(Duration::from_micros(1_600 * number as u64)).await;
            let mut durations = Vec::new();
            for _ in 0..4 {
                let response = client.chat(&request).await;
                durations.push((response.is_complete, response.first_token));
            }
            durations
        }));
    }
    let mut histogram = new_histogram()?;
    for task in tasks {
        for (whole, span) in task.await {
            anyhow::ensure!(whole, "a stream was not complete");
            histogram.record(span.as_micros() as u64)?;
        }
    }
    Ok(histogram)
}

/// Measures the cost of an idempotency key: latency and table writes.
pub async fn measure_idempotency() -> anyhow::Result<()> {
    const CALLS: usize = 400;
    let shape = DeploymentShape {
        services: 2,
        service_prefix: "/orders".to_string(),
        health_path: "/healthz".to_string(),
        ..bench_shape("once")
    };
    let deployment = Deployment::start(shape, ProgramSet::current_exe()?).await?;
    for callers in [1, 50] {
        let before = deployment.platform.state.table.calls().writes;
        let plain = measure_orders(&deployment, callers, CALLS, false).await?;
        let between = deployment.platform.state.table.calls().writes;
        let keyed = measure_orders(&deployment, callers, CALLS, true).await?;
        let after = deployment.platform.state.table.calls().writes;
        // Lease renewals write too; the writes during the run without keys are subtracted.
        let writes = (after - between).saturating_sub(between - before);
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        let text = format!(
            "median {:.1} ms against {:.1}, p99 {:.1} against {:.1}; {:.2} writes a request",
            ms(&keyed, 0.5),
            ms(&plain, 0.5),
            ms(&keyed, 0.99),
            ms(&plain, 0.99),
            writes as f64 / CALLS as f64
        );
        print_row(
            &format!("order with idempotency key, {callers} callers"),
            text,
            "",
        );
    }
    Ok(())
}

pub async fn measure_orders(
    deployment: &Deployment,
    callers: usize,
    calls: usize,
    keyed: bool,
) -> anyhow::Result<Histogram<u64>> {
    let url = deployment.url(0, "/orders/place");
    let key = deployment.first_key();
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let (url, key) = (url.clone(), key.clone());
        tasks.push(spawn(async move {
            let client = CallerClient::default();
            let mut durations = Vec::new();
            for call in 0..calls / callers {
                let body = format!("{caller}-{call}-of-{callers}");
                let header = RequestHeader {
                    name: if keyed { "idempotency-key" } else { "x-plain" },
                    value: body.clone(),
                };
                let response = client
                    .send_request("POST", &url, &key, &[header], body)
                    .await;
                durations.push((response.status, response.total));
            }
            durations
        }));
    }
    let mut histogram = new_histogram()?;
    for task in tasks {
        for (status, span) in task.await {
            anyhow::ensure!(status == 200, "an order got status {status}");
            histogram.record(span.as_micros() as u64)?;
        }
    }
    Ok(histogram)
}
