//! Duration of a routing decision.

use {
    crate::bench_setup::print_row,
    pitchhitch_core::{
        conf::{CostWeights, FleetConfig, ModelConf, OrganisationConf, VersionConf},
        kv_cache::{prefix_keys, PieceHolder},
        labels::LabelSet,
        route::{
            EndpointArena, EndpointKind, EndpointLoad, EndpointState, InFlightLoad, LoadReport,
            PoolIndex, RouteRequest, RouteTable, WorkTarget,
        },
        time::Micros,
    },
    slotmap::SecondaryMap,
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

pub fn measure_routing() {
    const ROUNDS: usize = 2_000;
    for endpoints in [10, 100, 1_000, 10_000] {
        let table = route_table(endpoints);
        let target = WorkTarget::Model("assistant".to_string());
        let text: Vec<u8> = (0..28_000).map(|n| (n % 251) as u8).collect();
        let pieces = prefix_keys("org", "v1", &text);
        let mut durations = Vec::with_capacity(ROUNDS);
        let mut chosen = 0;
        for round in 0..ROUNDS {
            let request = RouteRequest {
                organisation: "org",
                target: &target,
                version: "v1",
                pieces: &pieces,
                input_tokens: 7_000,
                weights: CostWeights::default(),
                token_bytes: 128,
                excluded: &[],
                now: Micros::ZERO,
                seed: round as u64,
            };
            let started = Instant::now();
            let choice = table.choose(&request, |_| InFlightLoad::default());
            durations.push(started.elapsed());
            chosen += usize::from(choice.is_ok());
        }
        assert_eq!(chosen, ROUNDS);
        durations.sort();
        let goal = if endpoints == 1_000 { "20 us" } else { "" };
        let median = durations[ROUNDS / 2].as_secs_f64() * 1e6;
        let text = format!("{median:.1} us");
        print_row(
            &format!("one routing decision, {endpoints} endpoints, median"),
            text,
            goal,
        );
    }
}

pub fn route_table(endpoints: usize) -> RouteTable {
    let mut config = FleetConfig {
        revision: 1,
        ..FleetConfig::default()
    };
    config
        .organisations
        .insert("org".to_string(), OrganisationConf::default());
    let versions = [("v1".to_string(), VersionConf::default())];
    let model = ModelConf {
        active: "v1".to_string(),
        versions: versions.into_iter().collect(),
        token_bytes: 128,
    };
    config.models.insert("assistant".to_string(), model);
    let mut arena = EndpointArena::default();
    let mut loads = SecondaryMap::new();
    let mut table = RouteTable::default();
    let text: Vec<u8> = (0..28_000).map(|n| (n % 251) as u8).collect();
    let pieces = prefix_keys("org", "v1", &text);
    for number in 0..endpoints {
        let key = arena.insert(Arc::new(EndpointState {
            id: format!("engine-{number}"),
            kind: EndpointKind::Engine {
                model: "assistant".to_string(),
                version: "v1".to_string(),
            },
            group: format!("group-{}", number / 16),
            labels: LabelSet::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            incarnation: 1,
            leaving: false,
        }));
        let report = LoadReport {
            pending_tokens: number as u64 * 37 % 5_000,
            running: 3,
            slots: 16,
            token_cost: 20.0,
            service_time: 100_000.0,
            healthy: true,
        };
        let load = EndpointLoad {
            report,
            alive: true,
            penalty: 1.0,
            ..EndpointLoad::default()
        };
        loads.insert(key, load);
        // About five endpoints have the prompt cached.
        if number % (endpoints / 5).max(1) == 0 {
            for piece in &pieces {
                table.pieces.add(*piece, PieceHolder::Endpoint(key));
            }
        }
    }
    table.pools = Arc::new(PoolIndex::build(&config, &arena));
    table.config = Arc::new(config);
    table.endpoints = Arc::new(arena);
    table.loads = loads;
    table
}
