//! Cost of organisations and of configuration changes.

use {
    crate::{
        core_fixture::{build_core, config},
        slope_row::{fit_line, median_micros, Point, SlopeRow},
    },
    pitchhitch_core::{
        conf::{ChangeRecord, ConfigChange, ConfigHead, FleetConfig, LabelTarget},
        role::EntryEvent,
        time::Micros,
    },
    std::{hint::black_box, sync::Arc},
};

pub fn measure_organisations(rows: &mut Vec<SlopeRow>) {
    let mut apply_times = Vec::new();
    let mut bytes = Vec::new();
    for count in [10, 100, 440, 1_000] {
        let size = count as f64;
        let mut core = build_core(200, count);
        let mut revision = 1;
        let value = median_micros(7, || {
            revision += 1;
            let mut newer = config(count);
            newer.revision = revision;
            black_box(core.step(Micros(5), EntryEvent::ConfigRead(Arc::new(newer))));
        });
        apply_times.push(Point { size, value });
        let text = serde_json::to_vec(&config(count)).unwrap_or_default();
        bytes.push(Point {
            size,
            value: text.len() as f64,
        });
    }
    rows.push(fit_line(
        "configuration put into force, 200 endpoints",
        "us",
        "organisation",
        apply_times,
    ));
    rows.push(fit_line(
        "configuration document",
        "bytes",
        "organisation",
        bytes,
    ));
}

pub fn measure_changes(rows: &mut Vec<SlopeRow>) {
    let change = |n: usize| ConfigChange::Label {
        target: LabelTarget::Endpoint(format!("engine-{n:05}")),
        key: "site".to_string(),
        value: Some("b".to_string()),
    };
    let mut bytes = Vec::new();
    let mut apply = Vec::new();
    for count in [1, 8, 32, 64] {
        let mut head = ConfigHead::default();
        for number in 0..count {
            head = head.with_change(&format!("{number:032x}"), "operator-1", 0, change(number));
        }
        let size = count as f64;
        let text = serde_json::to_vec(&head).unwrap_or_default();
        bytes.push(Point {
            size,
            value: text.len() as f64,
        });
        let base = FleetConfig::default();
        let value = median_micros(21, || {
            black_box(head.apply_to(&base)).ok();
        });
        apply.push(Point { size, value });
    }
    rows.push(fit_line(
        "head row, wire",
        "bytes",
        "change since the base",
        bytes,
    ));
    rows.push(fit_line("change applied", "us", "change", apply));
}

/// Measures the application of one more change, by the number of labelled endpoints
/// in the configuration.
pub fn measure_change_application(rows: &mut Vec<SlopeRow>) {
    let mut points = Vec::new();
    let mut bytes = Vec::new();
    for count in [100usize, 1_000, 3_000, 10_000] {
        let label = |n: usize, value: &str| ConfigChange::Label {
            target: LabelTarget::Endpoint(format!("engine-{n:05}")),
            key: "site".to_string(),
            value: Some(value.to_string()),
        };
        let mut labelled = config(440);
        for number in 0..count {
            let _ = labelled.apply(&label(number, "a"));
        }
        let text = serde_json::to_vec(&labelled).unwrap_or_default();
        bytes.push(Point {
            size: count as f64,
            value: text.len() as f64,
        });
        let mut revision = labelled.revision;
        let mut core = build_core(40, 10);
        core.step(Micros(5), EntryEvent::ConfigRead(Arc::new(labelled)));
        let value = median_micros(21, || {
            revision += 1;
            let record = ChangeRecord {
                revision,
                change_id: revision.to_string(),
                operator: "operator-1".to_string(),
                at_secs: 0,
                change: label(7, "b"),
            };
            black_box(core.step(Micros(6), EntryEvent::ChangesRead(vec![record])));
        });
        points.push(Point {
            size: count as f64,
            value,
        });
    }
    let mechanism = "one change put into force, 440 organisations, 40 endpoints known";
    rows.push(fit_line(mechanism, "us", "labelled endpoint", points));
    rows.push(fit_line(
        "configuration document, 440 organisations",
        "bytes",
        "labelled endpoint",
        bytes,
    ));
}
