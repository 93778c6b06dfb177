//! Control state of an entry process with one endpoint, for tests.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use {
    pitchhitch_core::{
        conf::{FleetConfig, ModelConf, OrganisationConf, VersionConf},
        labels::LabelSet,
        lease::LeaseTimes,
        membership::AgentBeacon,
        role::{
            AgentPulse, EndpointEvent, EntryAction, EntryCore, EntryEvent, EntrySetup, EventBatch,
        },
        route::{EndpointKind, InFlightLoad, LoadReport, RoutePolicy, RouteTable},
        time::Micros,
    },
    std::sync::Arc,
};

pub fn core() -> EntryCore {
    EntryCore::new(EntrySetup {
        box_id: "entry-1".to_string(),
        holder: "entry-1.1".to_string(),
        policy: RoutePolicy::Estimate,
        lease: LeaseTimes::default(),
    })
}

pub fn config(revision: u64) -> FleetConfig {
    let mut config = FleetConfig {
        revision,
        ..FleetConfig::default()
    };
    config
        .organisations
        .insert("org".to_string(), OrganisationConf::default());
    let model = ModelConf {
        active: "v1".to_string(),
        versions: [("v1".to_string(), VersionConf::default())]
            .into_iter()
            .collect(),
        token_bytes: 100,
    };
    config.models.insert("m".to_string(), model);
    config
}

pub fn load(running: u32) -> LoadReport {
    LoadReport {
        running,
        slots: 4,
        healthy: true,
        ..LoadReport::default()
    }
}

pub fn pulse(running: u32) -> AgentPulse {
    AgentPulse {
        load: load(running),
        refusing: false,
        exporting: 0,
        taken_up: 0,
    }
}

pub fn beacon(incarnation: u64) -> AgentBeacon {
    AgentBeacon {
        endpoint_id: "e1".to_string(),
        kind: EndpointKind::Engine {
            model: "m".to_string(),
            version: "v1".to_string(),
        },
        group: "g".to_string(),
        labels: LabelSet::default(),
        address: "127.0.0.1:9".parse().expect("address"),
        incarnation,
        revision: 0,
        pulse: AgentPulse {
            load: load(0),
            refusing: false,
            exporting: 0,
            taken_up: 0,
        },
    }
}

pub fn beacon_event(incarnation: u64) -> EntryEvent {
    EntryEvent::AgentBeaconReceived {
        beacon: beacon(incarnation),
        own: InFlightLoad::default(),
    }
}

pub fn stream_opened_event(incarnation: u64) -> EntryEvent {
    EntryEvent::StreamOpened {
        endpoint_id: "e1".to_string(),
        incarnation,
    }
}

pub fn batch_event(
    incarnation: u64,
    first: u64,
    events: Vec<EndpointEvent>,
) -> EntryEvent {
    EntryEvent::AgentEventsReceived {
        endpoint_id: "e1".to_string(),
        incarnation,
        batch: EventBatch {
            first,
            events,
            pulse: pulse(0),
        },
        own: InFlightLoad::default(),
    }
}

pub fn last_published_table(actions: &[EntryAction]) -> Option<Arc<RouteTable>> {
    actions.iter().rev().find_map(|action| match action {
        EntryAction::Publish { table, .. } => Some(table.clone()),
        _ => None,
    })
}

/// Runs as many ticks as the longest periodic interval takes.
pub fn run_ticks(
    core: &mut EntryCore,
    now: Micros,
) -> Vec<EntryAction> {
    let mut all = Vec::new();
    for _ in 0..10 {
        all.extend(core.step(now, EntryEvent::Tick));
    }
    all
}

pub fn linked_core() -> EntryCore {
    let mut core = core();
    core.step(Micros(0), EntryEvent::ConfigRead(Arc::new(config(1))));
    core.step(Micros(1), beacon_event(5));
    core.step(Micros(2), stream_opened_event(5));
    core
}
