//! Detection of agents that send no messages while they have requests.
//!
//! An agent can freeze after it accepted a request, and a report sent before that can still
//! arrive later. Such a report must not keep the link of a frozen agent open.

mod entry_fixture;

use {
    entry_fixture::{linked_core, pulse, run_ticks},
    pitchhitch_core::{
        role::{AgentPulse, EntryAction, EntryCore, EntryEvent, WorkTicket},
        route::InFlightLoad,
        time::Micros,
    },
};

#[test]
fn silent_endpoint_removed() {
    let mut core = linked_core();
    let busy = EntryEvent::PulseReceived {
        endpoint_id: "e1".to_string(),
        pulse: pulse(2),
        own: InFlightLoad::default(),
    };
    core.step(Micros(3), busy);
    let alive = |core: &EntryCore| {
        let entry = core.roster().get("e1").expect("known");
        core.roster().loads[entry.key].alive
    };
    assert!(alive(&core));
    run_ticks(&mut core, Micros::from_secs(3));
    assert!(!alive(&core));
    let actions = run_ticks(&mut core, Micros::from_secs(5));
    assert!(drops_link(&actions));
    let actions = run_ticks(&mut core, Micros::from_secs(90));
    assert!(actions
        .iter()
        .any(|a| matches!(a, EntryAction::Disconnect { .. })));
    assert!(core.roster().get("e1").is_none());
}

#[test]
fn frozen_endpoint_disconnected() {
    let mut core = linked_core();
    // The agent froze while idle, so its last report shows no requests.
    core.step(Micros::from_secs(5), routed());
    let actions = run_ticks(&mut core, Micros::from_secs(6));
    assert!(!drops_link(&actions));
    let actions = run_ticks(&mut core, Micros::from_secs(10));
    assert!(drops_link(&actions));
}

fn routed() -> EntryEvent {
    EntryEvent::Routed {
        endpoint_id: "e1".to_string(),
        pieces: Vec::new(),
    }
}

fn taken_up(ticket: u64) -> EntryEvent {
    EntryEvent::TakenUp {
        endpoint_id: "e1".to_string(),
        ticket: WorkTicket(ticket),
    }
}

/// Report of an agent whose gate has seen all tickets below `taken_up`, with no request running.
fn idle_report(taken_up: u64) -> EntryEvent {
    EntryEvent::PulseReceived {
        endpoint_id: "e1".to_string(),
        pulse: AgentPulse {
            taken_up,
            ..pulse(0)
        },
        own: InFlightLoad::default(),
    }
}

fn drops_link(actions: &[EntryAction]) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, EntryAction::DropLink { .. }))
}

/// The agent accepts a request and freezes; a report sent before that arrives afterwards.
#[test]
fn earlier_report_insufficient() {
    let mut core = linked_core();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_secs(5), taken_up(3));
    core.step(Micros::from_millis(5_010), idle_report(3));
    assert!(!drops_link(&run_ticks(&mut core, Micros::from_secs(8))));
    assert!(drops_link(&run_ticks(&mut core, Micros::from_secs(10))));
}

/// The same with the earlier report arriving between dispatch and acknowledgement.
#[test]
fn report_before_acknowledgement() {
    let mut core = linked_core();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_millis(5_010), idle_report(3));
    core.step(Micros::from_millis(5_020), taken_up(3));
    assert!(drops_link(&run_ticks(&mut core, Micros::from_secs(10))));
}

/// An agent that has finished all its requests may stay silent until the limit for idle agents.
#[test]
fn finished_agent_tolerated() {
    let mut core = linked_core();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_secs(5), taken_up(3));
    core.step(Micros::from_millis(5_300), idle_report(4));
    assert!(!drops_link(&run_ticks(&mut core, Micros::from_secs(15))));
}

/// The reports of a busy agent always lag slightly behind the requests sent to it.
#[test]
fn late_reports_tolerated() {
    let mut core = linked_core();
    for step in 0..40 {
        let now = Micros::from_secs(5) + Micros::from_millis(300 * step);
        core.step(now, routed());
        core.step(now, taken_up(step + 1));
        core.step(now, idle_report(step));
        assert!(!drops_link(&core.step(now, EntryEvent::Tick)));
    }
}
