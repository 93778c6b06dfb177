//! Cost of routing and limits per request.

use {
    crate::{
        core_fixture::{build_core, published_table, ENDPOINT_COUNTS},
        slope_row::{fit_line, median_micros, Point, SlopeRow},
    },
    pitchhitch_core::{
        conf::{CostWeights, OrganisationLimits},
        kv_cache::prefix_keys,
        limit::LimitTable,
        route::{InFlightLoad, RouteRequest, WorkTarget},
        time::Micros,
    },
    std::hint::black_box,
};

pub fn measure_requests(rows: &mut Vec<SlopeRow>) {
    let mut decide = Vec::new();
    for count in ENDPOINT_COUNTS {
        let mut core = build_core(count, 10);
        let Some(table) = published_table(&mut core) else {
            continue;
        };
        // Endpoints are alive only with a link, so all are set alive here.
        let mut table = (*table).clone();
        table.loads.values_mut().for_each(|load| load.alive = true);
        let target = WorkTarget::Model("assistant".to_string());
        let mut seed = 0;
        let value = median_micros(501, || {
            seed += 1;
            let request = RouteRequest {
                organisation: "org-001",
                target: &target,
                version: "v1",
                pieces: &[],
                input_tokens: 7_000,
                weights: CostWeights::default(),
                token_bytes: 128,
                excluded: &[],
                now: Micros(40),
                seed,
            };
            black_box(table.choose(&request, |_| InFlightLoad::default())).ok();
        });
        decide.push(Point {
            size: count as f64,
            value,
        });
    }
    rows.push(fit_line("routing decision", "us", "candidate", decide));
    let mut hash = Vec::new();
    for pieces in [4usize, 16, 64, 256] {
        let text = vec![7u8; pieces * 2_048];
        let value = median_micros(101, || {
            black_box(prefix_keys("org", "v1", &text));
        });
        hash.push(Point {
            size: pieces as f64,
            value,
        });
    }
    rows.push(fit_line("names of a prompt's pieces", "us", "piece", hash));
    let mut admit = Vec::new();
    for count in [10usize, 100, 440, 1_000] {
        let mut limits = LimitTable::new(1_000_000);
        let wide = OrganisationLimits {
            requests_per_second: 1.0e9,
            burst: 1.0e9,
            concurrency: 1_000_000,
        };
        let names: Vec<String> = (0..count).map(|n| format!("org-{n:03}")).collect();
        names.iter().for_each(|name| {
            let _ = limits.admit(name, &wide, 1.0, Micros(0));
        });
        let value = median_micros(501, || {
            let _ = black_box(limits.admit(&names[0], &wide, 1.0, Micros(1)));
            limits.release(&names[0]);
        });
        admit.push(Point {
            size: count as f64,
            value,
        });
    }
    rows.push(fit_line(
        "limits of a request",
        "us",
        "active organisation",
        admit,
    ));
}
