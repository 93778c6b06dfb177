//! Endpoints that stop responding while they run requests of this box.

use pitchhitch_core::{
    serving::{
        ContactStage, EndpointContact, EndpointKey, EndpointNotice, EndpointRegistry,
        EndpointStatus, PendingPrefill, ProbeOutcome,
    },
    time::Micros,
};

/// Step of the checks, in milliseconds.
const STEP: u64 = 100;
/// Interval of an agent's reports.
const REPORTS: Micros = ms(250);

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// An endpoint that has received a request at second 1, and was heard in the same moment.
fn busy_contact() -> EndpointContact {
    let mut contact = EndpointContact::default();
    contact.record_sent(true, ms(1_000));
    contact.record_heard(ms(1_000));
    contact
}

/// Checks the endpoint until `end` and gives each probe this outcome after 200 ms. Returns the times
/// of the probes and the stages of which requests are notified.
fn check(
    contact: &mut EndpointContact,
    (start, end): (u64, u64),
    has_engine: bool,
    outcome: ProbeOutcome,
    mut on_check: impl FnMut(&mut EndpointContact, Micros),
) -> (Vec<u64>, Vec<(u64, ContactStage)>) {
    let mut probes = Vec::new();
    let mut stages = Vec::new();
    let mut ends_at = None;
    for now in (start..=end).step_by(STEP as usize) {
        on_check(contact, ms(now));
        if ends_at == Some(now) {
            ends_at = None;
            let stage = contact.record_probe(outcome, true, ms(now));
            stages.extend(stage.map(|stage| (now, stage)));
        }
        if contact.take_due_probe(has_engine, ms(now)) {
            probes.push(now);
            ends_at = Some(now + 200);
        }
    }
    (probes, stages)
}

fn ignore(
    _: &mut EndpointContact,
    _: Micros,
) {
}

/// Guards against prompts that wait for their whole deadline at an engine whose box stands still.
#[test]
fn still_engine() {
    let mut contact = busy_contact();
    let unanswered = ProbeOutcome::Unanswered;
    let (probes, stages) = check(&mut contact, (1_000, 3_500), true, unanswered, ignore);
    assert_eq!(probes, [1_400, 2_800]);
    let expected = [
        (1_600, ContactStage::Unresponsive),
        (3_000, ContactStage::Lost),
    ];
    assert_eq!(stages, expected);
}

/// Guards against ever more probes that a box has to answer when it resumes.
#[test]
fn lost_engine_probed_rarely() {
    let mut contact = busy_contact();
    let unanswered = ProbeOutcome::Unanswered;
    let (probes, _) = check(&mut contact, (1_000, 31_000), true, unanswered, ignore);
    assert!(probes.len() <= 6, "{probes:?}");
    assert_eq!(contact.stage(), ContactStage::Lost);
    assert!(contact.record_heard(ms(31_100)).is_some());
    assert_eq!(contact.stage(), ContactStage::Responding);
}

/// Guards against an engine that computes for long and is taken for one that stands still.
#[test]
fn busy_engine() {
    let mut contact = busy_contact();
    let answered = ProbeOutcome::Answered;
    let (probes, stages) = check(&mut contact, (1_000, 11_000), true, answered, ignore);
    assert_eq!(stages, []);
    assert!(probes.len() <= 5, "its probes get rarer: {probes:?}");
}

/// Guards against an engine that has answered probes while it was busy, and is found out late when its
/// box stands still.
#[test]
fn busy_engine_stops() {
    let mut contact = busy_contact();
    let report = |contact: &mut EndpointContact, now: Micros| {
        contact.record_report(REPORTS, now);
    };
    let answered = ProbeOutcome::Answered;
    let (probes, _) = check(&mut contact, (1_000, 4_200), true, answered, report);
    assert_eq!(probes, [2_000, 4_200]);
    contact.record_probe(answered, true, ms(4_200));
    let unanswered = ProbeOutcome::Unanswered;
    let (_, stages) = check(&mut contact, (4_300, 5_000), true, unanswered, ignore);
    assert_eq!(stages, [(4_800, ContactStage::Unresponsive)]);
}

/// Guards against the front's own pause taken for that of an engine.
#[test]
fn own_pause() {
    let mut contact = busy_contact();
    contact.exclude(ms(5_000), ms(6_050));
    assert!(!contact.take_due_probe(true, ms(6_100)));
    assert!(contact.take_due_probe(true, ms(6_400)));
    assert_eq!(
        contact.record_probe(ProbeOutcome::Inconclusive, true, ms(9_000)),
        None,
        "the timeout passed while the front was paused"
    );
}

/// Guards against a front that is disconnected itself and takes all engines for unresponsive.
#[test]
fn disconnected_front() {
    let mut contact = busy_contact();
    assert!(contact.take_due_probe(true, ms(1_600)));
    let stage = contact.record_probe(ProbeOutcome::Unanswered, false, ms(1_800));
    assert_eq!(stage, None);
    assert_eq!(contact.stage(), ContactStage::Responding);
}

/// Guards against a response during a probe that is not taken note of.
#[test]
fn heard_during_probe() {
    let mut contact = busy_contact();
    assert!(contact.take_due_probe(true, ms(1_600)));
    contact.record_heard(ms(1_700));
    let stage = contact.record_probe(ProbeOutcome::Unanswered, true, ms(1_800));
    assert_eq!(stage, None);
}

/// Guards against an engine that this box alone does not reach: its agent reports all along. One
/// lost probe proves nothing then, and further reports do not end it.
#[test]
fn reported_engine() {
    let mut contact = busy_contact();
    let report = |contact: &mut EndpointContact, now: Micros| {
        contact.record_report(REPORTS, now);
    };
    let unanswered = ProbeOutcome::Unanswered;
    let (probes, stages) = check(&mut contact, (1_000, 3_000), true, unanswered, report);
    assert_eq!(probes[..2], [2_000, 2_500]);
    assert_eq!(stages[0], (2_700, ContactStage::Unresponsive));
    assert_ne!(contact.stage(), ContactStage::Responding);
    assert!(contact.record_heard(ms(3_100)).is_some());
}

/// Guards against a box that resumes and goes unused until it is probed: its agent reports first.
#[test]
fn reports_return() {
    let mut contact = busy_contact();
    contact.record_report(REPORTS, ms(1_000));
    let unanswered = ProbeOutcome::Unanswered;
    let (_, stages) = check(&mut contact, (1_000, 2_000), true, unanswered, ignore);
    assert_eq!(stages, [(1_600, ContactStage::Unresponsive)]);
    assert_eq!(
        contact.record_report(REPORTS, ms(4_000)),
        Some(ms(3_000)),
        "the silence that ends"
    );
    assert_eq!(contact.stage(), ContactStage::Responding);
}

/// Guards against an endpoint without an engine that is noticed after its callers' time: nothing
/// reports on it.
#[test]
fn plain_endpoint() {
    let mut contact = busy_contact();
    let unanswered = ProbeOutcome::Unanswered;
    let (probes, stages) = check(&mut contact, (1_000, 1_600), false, unanswered, ignore);
    assert_eq!(probes, [1_300]);
    assert_eq!(stages, [(1_500, ContactStage::Unresponsive)]);
}

/// Guards against silence that counts from before a request was sent.
#[test]
fn idle_endpoint() {
    let mut contact = busy_contact();
    contact.record_sent(true, ms(60_000));
    assert!(!contact.take_due_probe(true, ms(60_300)));
    assert!(contact.take_due_probe(true, ms(60_400)));
}

fn notice(
    id: &str,
    port: u16,
) -> EndpointNotice {
    EndpointNotice {
        id: id.to_string(),
        service: "llm".to_string(),
        address: Some(([10, 0, 0, 1], port).into()),
        ..EndpointNotice::default()
    }
}

fn take_due(
    registry: &mut EndpointRegistry,
    now: u64,
) -> Vec<EndpointKey> {
    registry.take_due_probes(|_| true, ms(now))
}

/// Guards against probes of endpoints without requests, and against an endpoint that left while it did
/// not respond and stays unused after it is listed again.
#[test]
fn unresponsive_probed_again() {
    let mut registry = EndpointRegistry::default();
    registry.apply(&notice("idle", 1));
    registry.apply(&notice("busy", 2));
    let busy = registry.key("busy").expect("listed");
    let prefill = PendingPrefill {
        ticket: 1,
        tokens: 0,
        memory_tokens: 0,
        priority: 0,
        sent_at: ms(1_000),
    };
    registry.record_sent(busy, prefill);
    assert_eq!(take_due(&mut registry, 1_500), [busy]);
    let idle = registry.key("idle").expect("listed");
    registry.record_heard(idle, ms(1_500));
    let outcome = ProbeOutcome::Unanswered;
    let stage = registry.record_contact_probe(busy, outcome, ms(1_500), ms(1_700));
    assert_eq!(stage, Some(ContactStage::Unresponsive));
    registry.record_ended(busy, 1);
    registry.get_mut(busy).expect("entry").status = EndpointStatus::Leaving;
    assert_eq!(take_due(&mut registry, 9_000), []);
    registry.get_mut(busy).expect("entry").status = EndpointStatus::Serving;
    assert_eq!(take_due(&mut registry, 9_100), [busy]);
}
