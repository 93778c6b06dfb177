//! Test data of any size for the measurements: agents, configurations and entry cores.

use {
    pitchhitch_core::{
        conf::{FleetConfig, ModelConf, OrganisationConf, VersionConf},
        labels::LabelSet,
        lease::LeaseTimes,
        membership::AgentBeacon,
        role::{AgentPulse, EntryAction, EntryCore, EntryEvent, EntrySetup},
        route::{EndpointKind, InFlightLoad, LoadReport, RoutePolicy, RouteTable},
        time::Micros,
    },
    std::{hint::black_box, net::SocketAddr, sync::Arc},
};

pub const ENDPOINT_COUNTS: [usize; 4] = [100, 500, 2_000, 10_000];

pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

pub fn load() -> LoadReport {
    LoadReport {
        pending_tokens: 900,
        running: 3,
        slots: 16,
        token_cost: 20.0,
        service_time: 100_000.0,
        healthy: true,
    }
}

pub fn pulse(pending: u64) -> AgentPulse {
    let mut load = load();
    load.pending_tokens = pending;
    AgentPulse {
        load,
        refusing: false,
        exporting: 0,
        taken_up: 0,
    }
}

pub fn agent_beacon(number: usize) -> AgentBeacon {
    let labels = [
        ("site", "a"),
        ("failure_domain", "nairobi-1"),
        ("group", "group-1"),
    ];
    AgentBeacon {
        endpoint_id: format!("engine-{number:05}"),
        kind: EndpointKind::Engine {
            model: "assistant".to_string(),
            version: "v1".to_string(),
        },
        group: format!("group-{}", number / 16),
        labels: labels.into_iter().collect::<LabelSet>(),
        address: address(),
        incarnation: 1,
        revision: 1,
        pulse: AgentPulse {
            load: load(),
            refusing: false,
            exporting: 0,
            taken_up: 0,
        },
    }
}

pub fn config(organisations: usize) -> FleetConfig {
    let mut config = FleetConfig {
        revision: 1,
        ..FleetConfig::default()
    };
    for number in 0..organisations {
        let conf = OrganisationConf {
            key_hashes: vec!["0".repeat(64)],
            ..OrganisationConf::default()
        };
        config
            .organisations
            .insert(format!("org-{number:03}"), conf);
    }
    let model = ModelConf {
        active: "v1".to_string(),
        versions: [("v1".to_string(), VersionConf::default())]
            .into_iter()
            .collect(),
        token_bytes: 128,
    };
    config.models.insert("assistant".to_string(), model);
    config
}

pub fn build_core(
    endpoints: usize,
    organisations: usize,
) -> EntryCore {
    let mut core = EntryCore::new(EntrySetup {
        box_id: "entry-1".to_string(),
        holder: "entry-1.1".to_string(),
        policy: RoutePolicy::Estimate,
        lease: LeaseTimes::default(),
    });
    core.step(
        Micros(0),
        EntryEvent::ConfigRead(Arc::new(config(organisations))),
    );
    for number in 0..endpoints {
        let beacon = agent_beacon(number);
        let endpoint_id = beacon.endpoint_id.clone();
        let own = InFlightLoad::default();
        core.step(Micros(1), EntryEvent::AgentBeaconReceived { beacon, own });
        if let Some(entry) = core.roster().get(&endpoint_id) {
            black_box(entry.linked);
        }
    }
    // Only four links, since the opening of each publishes a view.
    for number in 0..endpoints {
        let endpoint_id = format!("engine-{number:05}");
        if number < 4 {
            core.step(
                Micros(2),
                EntryEvent::StreamOpened {
                    endpoint_id,
                    incarnation: 1,
                },
            );
        }
    }
    core
}

pub fn published_table(core: &mut EntryCore) -> Option<Arc<RouteTable>> {
    // A view is published only after a change.
    core.step(
        Micros(30),
        EntryEvent::PulseReceived {
            endpoint_id: "engine-00001".to_string(),
            pulse: pulse(77),
            own: InFlightLoad::default(),
        },
    );
    let mut actions = core.step(Micros(31), EntryEvent::Tick);
    actions.reverse();
    actions.into_iter().find_map(|action| match action {
        EntryAction::Publish { table, .. } => Some(table),
        _ => None,
    })
}
