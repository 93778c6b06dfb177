//! Admission gate, order fence and cache mirror of an agent.

use pitchhitch_core::{
    errors::ErrorKind,
    kv_cache::PieceKey,
    labels::LabelSet,
    lease::{FenceRefusal, OrderStamp},
    role::{
        AgentAction, AgentCore, AgentEvent, AgentIdentity, CacheChange, ConfigNotice,
        EndpointEvent, EndpointOrder, GateRefusal, GateWork, OrderOutcome, StampedOrder,
        WorkTicket,
    },
    route::EndpointKind,
    time::Micros,
};

fn agent(slots: u32) -> AgentCore {
    let mut core = AgentCore::new(AgentIdentity {
        endpoint_id: "e1".to_string(),
        kind: EndpointKind::Engine {
            model: "m".to_string(),
            version: "v1".to_string(),
        },
        group: "g".to_string(),
        labels: LabelSet::default(),
        address: "127.0.0.1:9".parse().expect("address"),
        incarnation: 1,
        slots,
        queue_limit: 4,
    });
    core.step(Micros(0), healthy("v1"));
    core
}

fn healthy(version: &str) -> AgentEvent {
    AgentEvent::HealthChecked {
        healthy: true,
        version: Some(version.to_string()),
    }
}

fn work(version: &str) -> GateWork {
    GateWork {
        organisation: "org".to_string(),
        version: Some(version.to_string()),
        tokens: 100,
        deadline: Micros::from_secs(10),
    }
}

fn hand_over(
    core: &mut AgentCore,
    ticket: u64,
    version: &str,
) -> Vec<AgentAction> {
    let event = AgentEvent::HandedOver {
        ticket: WorkTicket(ticket),
        work: work(version),
    };
    core.step(Micros(1), event)
}

fn refused(
    ticket: u64,
    kind: ErrorKind,
) -> AgentAction {
    AgentAction::Refuse(GateRefusal {
        ticket: WorkTicket(ticket),
        kind,
    })
}

fn start(ticket: u64) -> AgentAction {
    AgentAction::Start(WorkTicket(ticket))
}

fn leaving(revision: u64) -> AgentEvent {
    AgentEvent::ConfigNoticeReceived(ConfigNotice {
        revision,
        leaving: true,
        box_leaving: false,
    })
}

fn order(
    epoch: u64,
    sequence: u64,
    version: &str,
) -> AgentEvent {
    AgentEvent::OrderReceived(StampedOrder {
        shard: "shard-00".to_string(),
        stamp: OrderStamp { epoch, sequence },
        order: EndpointOrder::LoadVersion {
            version: version.to_string(),
        },
    })
}

#[test]
fn slots_then_queue() {
    let mut core = agent(1);
    assert_eq!(hand_over(&mut core, 1, "v1"), vec![start(1)]);
    assert_eq!(hand_over(&mut core, 2, "v1"), vec![]);
    let ended = AgentEvent::Ended {
        ticket: WorkTicket(1),
    };
    assert_eq!(core.step(Micros(2), ended), vec![start(2)]);
}

#[test]
fn full_queue_refuses() {
    let mut core = agent(1);
    for ticket in 1..=5 {
        hand_over(&mut core, ticket, "v1");
    }
    assert_eq!(
        hand_over(&mut core, 6, "v1"),
        vec![refused(6, ErrorKind::EndpointFull)]
    );
}

#[test]
fn other_version_refused() {
    let mut core = agent(4);
    assert_eq!(
        hand_over(&mut core, 1, "v2"),
        vec![refused(1, ErrorKind::WrongVersion)]
    );
}

#[test]
fn loading_refuses_requests() {
    let mut core = agent(1);
    hand_over(&mut core, 1, "v1");
    hand_over(&mut core, 2, "v1");
    core.step(Micros(2), AgentEvent::EpochRead(1));
    let actions = core.step(Micros(3), order(1, 1, "v2"));
    assert!(
        actions.contains(&refused(2, ErrorKind::WrongVersion)),
        "{actions:?}"
    );
    // The running request continues; new ones for either version are refused during the load.
    assert!(!actions.contains(&refused(1, ErrorKind::WrongVersion)));
    assert_eq!(
        hand_over(&mut core, 3, "v1"),
        vec![refused(3, ErrorKind::WrongVersion)]
    );
    assert_eq!(
        hand_over(&mut core, 4, "v2"),
        vec![refused(4, ErrorKind::WrongVersion)]
    );
    let done = OrderOutcome {
        version: "v2".to_string(),
        failure: None,
    };
    core.step(Micros(4), AgentEvent::OrderEnded(done));
    core.step(
        Micros(4),
        AgentEvent::Ended {
            ticket: WorkTicket(1),
        },
    );
    assert_eq!(hand_over(&mut core, 5, "v2"), vec![start(5)]);
}

#[test]
fn leaving_refuses_requests() {
    let mut core = agent(1);
    hand_over(&mut core, 1, "v1");
    hand_over(&mut core, 2, "v1");
    let actions = core.step(Micros(2), leaving(5));
    assert_eq!(actions, vec![refused(2, ErrorKind::EndpointLeaving)]);
    assert!(core.is_refusing());
    assert!(!core.is_idle());
    assert_eq!(
        hand_over(&mut core, 3, "v1"),
        vec![refused(3, ErrorKind::EndpointLeaving)]
    );
}

#[test]
fn older_notice_ignored() {
    let mut core = agent(1);
    core.step(Micros(2), leaving(5));
    let older = ConfigNotice {
        revision: 4,
        leaving: false,
        box_leaving: false,
    };
    core.step(Micros(3), AgentEvent::ConfigNoticeReceived(older));
    assert!(core.is_refusing());
    let newer = ConfigNotice {
        revision: 6,
        ..older
    };
    core.step(Micros(4), AgentEvent::ConfigNoticeReceived(newer));
    assert!(!core.is_refusing());
}

#[test]
fn overdue_request_refused() {
    let mut core = agent(1);
    hand_over(&mut core, 1, "v1");
    hand_over(&mut core, 2, "v1");
    let actions = core.step(Micros::from_secs(11), AgentEvent::Tick);
    assert!(
        actions.contains(&refused(2, ErrorKind::DeadlinePassed)),
        "{actions:?}"
    );
}

#[test]
fn unhealthy_refuses_queued() {
    let mut core = agent(1);
    hand_over(&mut core, 1, "v1");
    hand_over(&mut core, 2, "v1");
    let unhealthy = AgentEvent::HealthChecked {
        healthy: false,
        version: None,
    };
    let actions = core.step(Micros(2), unhealthy);
    assert!(
        actions.contains(&refused(2, ErrorKind::EndpointUnreachable)),
        "{actions:?}"
    );
    assert!(actions.contains(&AgentAction::Publish(vec![EndpointEvent::Cleared])));
}

#[test]
fn unknown_epoch_refused() {
    let mut core = agent(1);
    assert_eq!(
        core.step(Micros(1), order(7, 1, "v2")),
        vec![AgentAction::RefuseOrder(FenceRefusal::EpochUnknown)]
    );
    let actions = core.step(Micros(2), AgentEvent::Tick);
    assert!(actions.contains(&AgentAction::ReadEpoch));
}

#[test]
fn gap_requests_listing() {
    let mut core = agent(1);
    let listed = AgentEvent::CacheListed {
        next: 10,
        keys: vec![PieceKey(1)],
    };
    core.step(Micros(1), listed);
    let contiguous = AgentEvent::CacheChanged {
        first: 10,
        changes: vec![CacheChange::Added(PieceKey(2))],
    };
    assert!(matches!(
        core.step(Micros(2), contiguous)[0],
        AgentAction::Publish(_)
    ));
    let gap = AgentEvent::CacheChanged {
        first: 15,
        changes: vec![CacheChange::Added(PieceKey(3))],
    };
    assert_eq!(core.step(Micros(3), gap), vec![AgentAction::ListCache]);
    assert_eq!(core.snapshot().len(), 2);
}

#[test]
fn reported_version_adopted() {
    let mut core = agent(1);
    let actions = core.step(Micros(1), healthy("v9"));
    let published = AgentAction::Publish(vec![EndpointEvent::Version("v9".to_string())]);
    assert_eq!(actions, vec![published]);
    assert_eq!(
        hand_over(&mut core, 1, "v1"),
        vec![refused(1, ErrorKind::WrongVersion)]
    );
}
