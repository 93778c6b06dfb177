//! Agents that say nothing while they have work.

mod entry_world;

use {
    entry_world::{linked, pulse, tick},
    pitchhitch_core::{
        role::{AgentPulse, EntryAction, EntryCore, EntryEvent, WorkTicket},
        route::InFlightLoad,
        time::Micros,
    },
};

#[test]
fn silent_endpoint_goes() {
    let mut core = linked();
    let busy = EntryEvent::PulseSeen {
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
    tick(&mut core, Micros::from_secs(3));
    assert!(!alive(&core));
    let actions = tick(&mut core, Micros::from_secs(5));
    assert!(drops_link(&actions));
    let actions = tick(&mut core, Micros::from_secs(90));
    assert!(actions
        .iter()
        .any(|a| matches!(a, EntryAction::Disconnect { .. })));
    assert!(core.roster().get("e1").is_none());
}

#[test]
fn frozen_idle_endpoint_goes() {
    let mut core = linked();
    // It was idle when it froze, so nothing of it was busy in any report.
    core.step(Micros::from_secs(5), routed());
    let actions = tick(&mut core, Micros::from_secs(6));
    assert!(!drops_link(&actions));
    let actions = tick(&mut core, Micros::from_secs(10));
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

/// A report of an agent that has seen so many hand-overs and runs none of them.
fn idle_report(taken_up: u64) -> EntryEvent {
    EntryEvent::PulseSeen {
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

/// An agent takes up a request and freezes; a report from before comes after that.
#[test]
fn earlier_report_proves_nothing() {
    let mut core = linked();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_secs(5), taken_up(3));
    core.step(Micros::from_millis(5_010), idle_report(3));
    assert!(!drops_link(&tick(&mut core, Micros::from_secs(8))));
    assert!(drops_link(&tick(&mut core, Micros::from_secs(10))));
}

/// The same, where the report comes between the sending and the taking up.
#[test]
fn report_before_taking_up() {
    let mut core = linked();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_millis(5_010), idle_report(3));
    core.step(Micros::from_millis(5_020), taken_up(3));
    assert!(drops_link(&tick(&mut core, Micros::from_secs(10))));
}

/// An agent that has done all that was sent there may be silent for long.
#[test]
fn done_agent_may_rest() {
    let mut core = linked();
    core.step(Micros::from_secs(5), routed());
    core.step(Micros::from_secs(5), taken_up(3));
    core.step(Micros::from_millis(5_300), idle_report(4));
    assert!(!drops_link(&tick(&mut core, Micros::from_secs(15))));
}

/// A busy agent's reports are always a little behind what is sent there.
#[test]
fn late_reports_keep_link() {
    let mut core = linked();
    for step in 0..40 {
        let now = Micros::from_secs(5) + Micros::from_millis(300 * step);
        core.step(now, routed());
        core.step(now, taken_up(step + 1));
        core.step(now, idle_report(step));
        assert!(!drops_link(&core.step(now, EntryEvent::Tick)));
    }
}
