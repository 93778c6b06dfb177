//! Cost of beacons, load reports and known endpoints.

use {
    crate::{
        core_fixture::{address, agent_beacon, build_core, config, pulse, ENDPOINT_COUNTS},
        piece_slopes::memory_point,
        slope_row::{fit_line, median_micros, Point, SlopeRow},
    },
    pitchhitch_core::{
        membership::{Beacon, EntryBeacon},
        role::EntryEvent,
        route::InFlightLoad,
        time::Micros,
    },
    pitchhitch_wire::beacon::{BeaconKey, NumberedBeacon},
    std::{hint::black_box, sync::Arc},
};

pub fn measure_beacons(rows: &mut Vec<SlopeRow>) {
    let key = BeaconKey::from_secret("slopes");
    let sealed = |counter| NumberedBeacon {
        counter,
        beacon: Beacon::Agent(agent_beacon(7)),
    };
    let mut seal = Vec::new();
    let mut open = Vec::new();
    let mut bytes = Vec::new();
    for count in [100, 1_000, 5_000, 20_000] {
        let datagrams: Vec<Vec<u8>> = (0..count)
            .filter_map(|n| sealed(n).seal(&key).ok())
            .collect();
        let size = count as f64;
        bytes.push(Point {
            size,
            value: datagrams.iter().map(Vec::len).sum::<usize>() as f64,
        });
        let value = median_micros(5, || {
            (0..count).for_each(|n| {
                let _ = black_box(sealed(n).seal(&key));
            })
        });
        seal.push(Point { size, value });
        let value = median_micros(5, || {
            datagrams.iter().for_each(|d| {
                let _ = black_box(NumberedBeacon::open(d, &key));
            })
        });
        open.push(Point { size, value });
    }
    rows.push(fit_line("agent beacon, wire", "bytes", "beacon", bytes));
    rows.push(fit_line(
        "agent beacon, make and seal",
        "us",
        "beacon",
        seal,
    ));
    rows.push(fit_line(
        "agent beacon, check and read",
        "us",
        "beacon",
        open,
    ));
    let entry = Beacon::Entry(EntryBeacon {
        entry_id: "entry-0001".to_string(),
        failure_domain: "nairobi-1".to_string(),
        address: address(),
        peer_address: address(),
        incarnation: 1,
        revision: 63_000,
        running: 100,
    });
    let one = NumberedBeacon {
        counter: 1,
        beacon: entry,
    }
    .seal(&key)
    .map_or(0, |d| d.len());
    let points = [1.0, 10.0, 100.0, 1_000.0].map(|size| Point {
        size,
        value: size * one as f64,
    });
    rows.push(fit_line(
        "entry beacon, wire",
        "bytes",
        "beacon",
        points.to_vec(),
    ));
}

pub fn measure_endpoints(rows: &mut Vec<SlopeRow>) {
    let mut memory = Vec::new();
    let mut receive = Vec::new();
    let mut tick = Vec::new();
    let mut pools = Vec::new();
    for count in ENDPOINT_COUNTS {
        let size = count as f64;
        let mut core = build_core(count, 10);
        memory.push(memory_point("endpoints", count));
        let mut pending = 0;
        let value = median_micros(7, || {
            pending += 1;
            for number in 0..count {
                core.step(
                    Micros(10),
                    EntryEvent::PulseReceived {
                        endpoint_id: format!("engine-{number:05}"),
                        pulse: pulse(pending),
                        own: InFlightLoad::default(),
                    },
                );
            }
        });
        receive.push(Point { size, value });
        let mut now = 20;
        let value = median_micros(41, || {
            now += 1;
            // A view is published only after a change.
            core.step(
                Micros(now),
                EntryEvent::PulseReceived {
                    endpoint_id: "engine-00001".to_string(),
                    pulse: pulse(now),
                    own: InFlightLoad::default(),
                },
            );
            black_box(core.step(Micros(now), EntryEvent::Tick));
        });
        tick.push(Point { size, value });
        let mut revision = 1;
        let value = median_micros(5, || {
            revision += 1;
            let mut newer = config(10);
            newer.revision = revision;
            black_box(core.step(Micros(now), EntryEvent::ConfigRead(Arc::new(newer))));
        });
        pools.push(Point { size, value });
    }
    rows.push(fit_line(
        "endpoint known in detail, memory",
        "bytes",
        "endpoint",
        memory,
    ));
    rows.push(fit_line("load report taken in", "us", "report", receive));
    rows.push(fit_line(
        "tick with a new view published",
        "us",
        "endpoint",
        tick,
    ));
    rows.push(fit_line(
        "configuration put into force, 10 organisations",
        "us",
        "endpoint",
        pools,
    ));
}
