//! Requests to endpoints in slow start: all boxes together stay within the limit.

use {
    pitchhitch_core::{
        serving::{
            EndpointSlowStart, GrantAllocator, SendGrant, SlowStartBound, SlowStartRule,
            GRANT_RECLAIM_DELAY, GRANT_TTL,
        },
        time::Micros,
    },
    proptest::prelude::*,
};

const LIMIT: u32 = 35;
const SECOND: u64 = 1_000;

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn limit_of_bound() {
    let rule = SlowStartRule {
        duration: ms(3_000),
        per_second: 20.0,
    };
    let bound = |ratio, slack| SlowStartBound { ratio, slack };
    assert_eq!(bound(1.5, 5.0).limit(&rule), LIMIT);
    assert_eq!(bound(1.0, 0.0).limit(&rule), 20);
    assert_eq!(bound(0.0, -1.0).limit(&rule), 0);
}

#[test]
fn warm_unlimited() {
    let mut start = EndpointSlowStart::default();
    for ticket in 0..200 {
        assert!(start.admits(ms(5)));
        start.record_sent(ticket, ms(5));
    }
    start.begin(ms(500), ms(10));
    assert!(
        !start.admits(ms(10)),
        "no grant, and many requests in the window"
    );
    assert!(start.admits(ms(510)), "slow start has ended");
}

#[test]
fn grant_used_up() {
    let mut start = EndpointSlowStart::default();
    start.begin(ms(3_000), ms(0));
    start.update_grant(SendGrant { per_second: 2 }, ms(0));
    for ticket in 0..2 {
        assert!(start.admits(ms(100)));
        start.record_sent(ticket, ms(100));
    }
    assert!(!start.admits(ms(100)));
    start.record_unsent(1);
    assert!(start.admits(ms(100)));
    start.record_sent(1, ms(400));
    start.update_grant(SendGrant { per_second: 2 }, ms(1_000));
    assert!(!start.admits(ms(1_050)));
    assert!(start.admits(ms(1_101)));
}

#[test]
fn old_grant_void() {
    let mut start = EndpointSlowStart::default();
    start.begin(ms(9_000), ms(0));
    start.update_grant(SendGrant { per_second: 2 }, ms(100));
    assert!(start.admits(ms(100)));
    assert!(!start.admits(ms(100) + GRANT_TTL));
    start.update_grant(SendGrant { per_second: 9 }, ms(50));
    assert!(
        !start.admits(ms(100) + GRANT_TTL),
        "the grant is out of order"
    );
}

/// Once all boxes have repeatedly received grants, each has its share, and a new box receives a
/// grant immediately.
#[test]
fn shares_converge() {
    for boxes in [1u32, 3, 25, 34, 35, 103] {
        let mut allocator = GrantAllocator::default();
        allocator.set_limit(LIMIT);
        let mut shares = Vec::new();
        for round in 0..40 {
            let now = ms(round * 250);
            let grants = (0..boxes).map(|to| allocator.grant(to, boxes as usize, now).per_second);
            shares = grants.collect();
        }
        let sum: u32 = shares.iter().sum();
        assert!(
            sum <= LIMIT && sum * 10 >= LIMIT.min(boxes) * 7,
            "{boxes}: {shares:?}"
        );
        if boxes < LIMIT {
            assert!(shares.iter().all(|share| *share > 0), "{boxes}: {shares:?}");
        }
        if boxes == 3 {
            assert!(allocator.grant(99, 4, ms(10_000)).per_second > 0);
        }
    }
}

/// An event at the agent of the endpoint or at a box.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A box is sent a grant, which arrives after this time in milliseconds, or never.
    Grant { to: usize, delay: Option<u64> },
    /// A box sends up to this many requests while it may.
    Send { by: usize, max: usize },
    /// The agent of the endpoint restarts.
    Restart,
    /// The agent assumes this number of boxes from now on.
    SetBoxes(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..600u64).prop_map(Step::Pass),
        8 => (0..8usize, proptest::option::weighted(0.8, 0..1_400u64))
            .prop_map(|(to, delay)| Step::Grant { to, delay }),
        8 => (0..8usize, 1..40usize).prop_map(|(by, max)| Step::Send { by, max }),
        1 => Just(Step::Restart),
        1 => (1..12usize).prop_map(Step::SetBoxes),
    ]
}

proptest! {
    /// With lost, late, reordered or outdated messages and any assumed number of boxes, the
    /// endpoint never receives more than its limit within a second.
    #[test]
    fn never_above_limit(steps in proptest::collection::vec(step(), 1..200)) {
        let mut now = 0u64;
        let mut allocator = GrantAllocator::default();
        allocator.set_limit(LIMIT);
        let mut known_boxes = 4;
        let mut boxes: Vec<EndpointSlowStart> = vec![EndpointSlowStart::default(); 8];
        for start in &mut boxes {
            start.begin(Micros::from_secs(100_000), ms(0));
        }
        // Messages in transit: time of arrival, box, grant, and time of sending.
        let mut in_transit: Vec<(u64, usize, SendGrant, u64)> = Vec::new();
        let mut sends: Vec<u64> = Vec::new();
        let mut ticket = 0;
        for step in steps {
            match step {
                Step::Pass(millis) => now += millis,
                Step::SetBoxes(count) => known_boxes = count,
                Step::Restart => {
                    allocator = GrantAllocator::default();
                    allocator.set_limit(LIMIT);
                }
                Step::Grant { to, delay } => {
                    let grant = allocator.grant(to, known_boxes, ms(now));
                    if let Some(delay) = delay {
                        in_transit.push((now + delay, to, grant, now));
                    }
                }
                Step::Send { by, max } => {
                    for _ in 0..max {
                        if !boxes[by].admits(ms(now)) {
                            break;
                        }
                        ticket += 1;
                        boxes[by].record_sent(ticket, ms(now));
                        sends.push(now);
                    }
                }
            }
            let (arrived, later) = in_transit.into_iter().partition(|(at, ..)| *at <= now);
            in_transit = later;
            for (_, to, grant, sent_at) in arrived {
                boxes[to].update_grant(grant, ms(sent_at));
            }
        }
        for from in &sends {
            let within = sends.iter().filter(|at| *at >= from && **at < from + SECOND);
            let count = within.count() as u32;
            prop_assert!(count <= LIMIT, "{count} from {from} ms");
        }
    }
}

#[test]
fn time_until_admission() {
    let mut start = EndpointSlowStart::default();
    assert_eq!(start.admits_after(ms(0)), Micros::ZERO);
    start.begin(ms(5_000), ms(0));
    assert_eq!(
        start.admits_after(ms(0)),
        GRANT_RECLAIM_DELAY,
        "a grant may not be sent earlier"
    );
    start.update_grant(SendGrant { per_second: 1 }, ms(100));
    assert_eq!(start.admits_after(ms(100)), Micros::ZERO);
    start.record_sent(1, ms(100));
    assert_eq!(start.admits_after(ms(400)), ms(700));
    assert_eq!(
        start.admits_after(ms(4_990)),
        ms(10),
        "slow start ends then"
    );
}
