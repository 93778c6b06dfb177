//! Control state machine of an entry process: configuration, event streams, drain and eviction.

mod entry_fixture;

use {
    entry_fixture::{
        batch_event, beacon, beacon_event, config, core, last_published_table, linked_core, pulse,
        run_ticks, stream_opened_event,
    },
    pitchhitch_core::{
        conf::{ConfigChange, LabelTarget, VersionConf},
        drain::DrainState,
        errors::ErrorKind,
        kv_cache::{PieceHolder, PieceKey, StoreTier},
        lease::LeaseRow,
        membership::{AgentBeacon, EntryBeacon},
        role::{
            BoxRole, EndpointEvent, EntryAction, EntryCore, EntryEvent, ListedBox, PromptUse,
            StoredNotice, StoredPiece,
        },
        route::{InFlightLoad, RouteTable},
        time::Micros,
    },
    std::sync::Arc,
};

#[test]
fn config_never_reverts() {
    let mut core = core();
    core.step(Micros(0), EntryEvent::ConfigRead(Arc::new(config(5))));
    core.step(Micros(1), EntryEvent::ConfigRead(Arc::new(config(3))));
    assert_eq!(core.config().revision, 5);
}

#[test]
fn readiness_needs_contact() {
    let mut core = core();
    assert!(!core.is_ready(Micros(0)));
    core.step(Micros(0), EntryEvent::ConfigRead(Arc::new(config(1))));
    // The table was not reached yet: a peer may announce a higher revision within seconds.
    assert!(!core.is_ready(Micros(1)));
    core.step(Micros(2), EntryEvent::TableReached);
    assert!(core.is_ready(Micros(3)));
    // Neither the table nor a peer was reached for longer than the contact timeout.
    assert!(!core.is_ready(Micros::from_secs(8)));
}

#[test]
fn peers_settle_config() {
    let mut core = core();
    let peer = EntryBeacon {
        entry_id: "entry-2".to_string(),
        failure_domain: "d".to_string(),
        address: "127.0.0.1:9".parse().expect("address"),
        peer_address: "127.0.0.1:10".parse().expect("address"),
        incarnation: 1,
        revision: 7,
        running: 0,
    };
    let actions = core.step(Micros(0), EntryEvent::PeerBeaconReceived(peer.clone()));
    assert!(matches!(actions[0], EntryAction::PullConfig { .. }));
    core.step(Micros(1), EntryEvent::ConfigRead(Arc::new(config(7))));
    assert!(!core.is_ready(Micros::from_secs(1)));
    core.step(Micros::from_secs(2), EntryEvent::PeerBeaconReceived(peer));
    assert!(core.is_ready(Micros::from_secs(3)));
}

#[test]
fn event_gap_resyncs() {
    let mut core = linked_core();
    core.step(
        Micros(3),
        batch_event(5, 0, vec![EndpointEvent::Cached(PieceKey(1))]),
    );
    let actions = core.step(
        Micros(4),
        batch_event(5, 7, vec![EndpointEvent::Cached(PieceKey(2))]),
    );
    assert!(actions
        .iter()
        .any(|a| matches!(a, EntryAction::Resync { .. })));
    // Further batches are ignored until the stream is reopened.
    core.step(
        Micros(5),
        batch_event(5, 8, vec![EndpointEvent::Cached(PieceKey(3))]),
    );
    assert_eq!(core.piece_count(), 1);
}

#[test]
fn restart_invalidates_pieces() {
    let mut core = linked_core();
    let key = PieceKey(77 << 64);
    core.step(
        Micros(3),
        batch_event(5, 0, vec![EndpointEvent::Cached(key)]),
    );
    let table = last_published_table(&run_ticks(&mut core, Micros(4))).expect("table");
    let has_valid_holder = |table: &RouteTable| {
        table.pieces.holders(key).any(|holder| match holder {
            PieceHolder::Endpoint(endpoint) => table.endpoints.contains_key(endpoint),
            PieceHolder::Store(_) => true,
        })
    };
    assert!(has_valid_holder(&table));
    core.step(Micros(5), beacon_event(6));
    let mut actions = core.step(Micros(6), stream_opened_event(6));
    actions.extend(run_ticks(&mut core, Micros(7)));
    let table = last_published_table(&actions).expect("table");
    assert!(!has_valid_holder(&table));
}

#[test]
fn earlier_incarnation_ignored() {
    let mut core = linked_core();
    core.step(Micros(3), beacon_event(4));
    core.step(
        Micros(4),
        batch_event(4, 0, vec![EndpointEvent::Cached(PieceKey(1))]),
    );
    assert_eq!(core.piece_count(), 0);
    assert_eq!(core.roster().state("e1").expect("known").incarnation, 5);
}

#[test]
fn drain_reported() {
    let mut core = linked_core();
    let now = Micros(10);
    assert_eq!(core.drain_state("e1", now), DrainState::Serving);
    let mut config = config(1);
    config
        .apply(&ConfigChange::Label {
            target: LabelTarget::Endpoint("e1".to_string()),
            key: "leaving".to_string(),
            value: Some("true".to_string()),
        })
        .expect("change");
    let actions = core.step(now, EntryEvent::ConfigRead(Arc::new(config)));
    assert!(actions
        .iter()
        .any(|a| matches!(a, EntryAction::Notify { notice, .. } if notice.leaving)));
    // The endpoint is out of the pool at once, whether or not its agent has confirmed.
    let table = last_published_table(&actions).expect("table");
    let target = pitchhitch_core::route::WorkTarget::Model("m".to_string());
    let pool = table.pools.get("org", &target, "v1").expect("pool");
    assert!(pool.members.is_empty());
    assert_eq!(core.drain_state("e1", now), DrainState::AwaitingAgent);
    let mut refusing = pulse(1);
    refusing.refusing = true;
    let event = |pulse| EntryEvent::PulseReceived {
        endpoint_id: "e1".to_string(),
        pulse,
        own: InFlightLoad::default(),
    };
    core.step(now, event(refusing));
    assert_eq!(
        core.drain_state("e1", now),
        DrainState::Running { requests: 1 }
    );
    refusing.load.running = 0;
    core.step(now, event(refusing));
    assert_eq!(core.drain_state("e1", now), DrainState::MayStop);
    assert_eq!(
        core.drain_state("e1", Micros::from_secs(9)),
        DrainState::AgentSilent
    );
}

#[test]
fn failing_endpoint_ejected() {
    let mut core = linked_core();
    let failed = || EntryEvent::AttemptEnded {
        endpoint_id: "e1".to_string(),
        failure: Some(ErrorKind::EndpointLost),
    };
    core.step(Micros(3), failed());
    core.step(Micros(4), failed());
    core.step(Micros(5), failed());
    let entry = core.roster().get("e1").expect("known");
    assert!(!core.roster().loads[entry.key].alive);
}

fn store_box() -> EntryEvent {
    EntryEvent::BoxesListed(vec![ListedBox {
        id: "store-1".to_string(),
        role: BoxRole::Store,
        group: "g".to_string(),
        failure_domain: "d".to_string(),
        address: "127.0.0.1:11".parse().expect("address"),
        leaving: false,
    }])
}

fn stored(
    piece: u128,
    identity: u128,
) -> EndpointEvent {
    EndpointEvent::Stored(StoredNotice {
        key: PieceKey(piece << 64),
        store: "store-1".to_string(),
        tier: StoreTier::Memory,
        generation: piece as u64,
        identity: PieceKey(identity),
    })
}

fn used(identity: u128) -> EndpointEvent {
    EndpointEvent::PromptUsed(PromptUse {
        identity: PieceKey(identity),
        organisation: "org".to_string(),
        label: "file".to_string(),
    })
}

#[test]
fn full_store_evicts() {
    let mut core = linked_core();
    core.step(Micros(3), store_box());
    // The process evicts nothing before it holds the lease of the group.
    let mut events = vec![used(2)];
    events.extend((0..40).map(|n| stored(100 + n, 1)));
    events.extend((0..40).map(|n| stored(200 + n, 2)));
    core.step(Micros(4), batch_event(5, 0, events));
    let full = EndpointEvent::StoreFull {
        store: "store-1".to_string(),
    };
    let actions = core.step(Micros(5), batch_event(5, 81, vec![full.clone()]));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, EntryAction::DropPieces { .. })));
    take_lease(&mut core);
    let now = Micros(7);
    let actions = core.step(now, batch_event(5, 82, vec![full]));
    let dropped = actions.iter().find_map(|a| match a {
        EntryAction::DropPieces { pieces, .. } => Some(pieces.clone()),
        _ => None,
    });
    let dropped = dropped.expect("pieces are dropped");
    // The pieces of the prompt that was never used are evicted, the others stay.
    assert_eq!(dropped.len(), 40);
    assert!(dropped.iter().all(|piece| piece.generation < 200));
}

/// Acquires the lease of the only group for this process.
fn take_lease(core: &mut EntryCore) {
    let now = Micros(6);
    let shard = pitchhitch_core::lease::shard_of("g");
    run_ticks(core, now);
    let read = EntryEvent::LeaseRead {
        shard: shard.clone(),
        row: None::<LeaseRow>,
        version: 0,
        requested_at: now,
    };
    core.step(now, read);
    let actions = run_ticks(core, now);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, EntryAction::WriteLease { .. })),
        "{actions:?}"
    );
    core.step(now, EntryEvent::LeaseWritten { shard, version: 1 });
    assert_eq!(core.held_shards(now).len(), 1);
}

#[test]
fn listing_keeps_newer() {
    let mut core = linked_core();
    core.step(Micros(3), store_box());
    // An agent reports a newer piece after the listing was made.
    core.step(Micros(4), batch_event(5, 0, vec![stored(9, 1)]));
    let listed = EntryEvent::StoreListed {
        store: "store-1".to_string(),
        pieces: vec![StoredPiece {
            key: PieceKey(8 << 64),
            tier: StoreTier::Disk,
            generation: 8,
        }],
    };
    core.step(Micros(5), listed);
    let table = last_published_table(&run_ticks(&mut core, Micros(6))).expect("table");
    for piece in [8, 9] {
        let known = table
            .pieces
            .holders(PieceKey(piece << 64))
            .any(|holder| match holder {
                PieceHolder::Store(copy) => table.stores.contains_key(copy.store),
                PieceHolder::Endpoint(_) => false,
            });
        assert!(known, "piece {piece}");
    }
}

#[test]
fn concurrent_loads_limited() {
    let mut core = core();
    let mut config = config(2);
    let model = config.models.get_mut("m").expect("model");
    model
        .versions
        .insert("v2".to_string(), VersionConf::default());
    model.active = "v2".to_string();
    core.step(Micros(0), EntryEvent::ConfigRead(Arc::new(config)));
    for number in 0..5 {
        let endpoint_id = format!("e{number}");
        let beacon = AgentBeacon {
            endpoint_id: endpoint_id.clone(),
            ..beacon(5)
        };
        let own = InFlightLoad::default();
        core.step(Micros(1), EntryEvent::AgentBeaconReceived { beacon, own });
        core.step(
            Micros(2),
            EntryEvent::StreamOpened {
                endpoint_id,
                incarnation: 5,
            },
        );
    }
    take_lease(&mut core);
    let actions = run_ticks(&mut core, Micros(7));
    let order_count = |actions: &[EntryAction]| {
        actions
            .iter()
            .filter(|a| matches!(a, EntryAction::Order { .. }))
            .count()
    };
    assert_eq!(order_count(&actions), 2);
    assert_eq!(order_count(&run_ticks(&mut core, Micros(8))), 0);
}
