use {
    super::{
        EndpointOrder, EndpointRoster, EntryAction, PlacementKind, PlacementLine, StampedOrder,
    },
    crate::{
        conf::FleetConfig,
        lease::{LeaseMachine, LeaseRow, LeaseStep, LeaseTimes, OrderStamp},
        place::{plan_loads, EngineLoadView, LoadStep},
        route::{EndpointKind, EndpointState},
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Prefix of lease rows in the table.
pub const LEASE_PREFIX: &str = "lease/";
/// Label that says which version an endpoint should hold, instead of the active one.
pub const VERSION_LABEL: &str = "version";
/// Time after which an order that nobody reported on is given up.
const ORDER_PATIENCE: Micros = Micros::from_secs(30);

#[derive(Debug)]
struct GroupShard {
    lease: LeaseMachine,
    sequence: u64,
    last_epoch: Option<u64>,
    ordered_at: BTreeMap<String, Micros>,
}

/// Gives load orders to the engines of each group, under the group's lease.
#[derive(Debug)]
pub struct LoadController {
    me: String,
    times: LeaseTimes,
    shards: BTreeMap<String, GroupShard>,
}

/// What a lease call brought.
#[derive(Debug, Clone)]
pub enum LeaseOutcome {
    /// The row was read.
    Read {
        /// The row; none when there is none.
        row: Option<LeaseRow>,
        /// Its table version.
        version: u64,
        /// When the read was sent.
        asked_at: Micros,
    },
    /// The row was written.
    Written {
        /// Its new table version.
        version: u64,
    },
    /// The row had changed before.
    Refused,
    /// Nobody knows.
    Unknown,
}

impl LoadController {
    /// A controller without any shard; `me` names this life of the process.
    pub fn new(
        me: impl Into<String>,
        times: LeaseTimes,
    ) -> Self {
        LoadController {
            me: me.into(),
            times,
            shards: BTreeMap::new(),
        }
    }

    /// Takes in the outcome of a lease call.
    pub fn lease_outcome(
        &mut self,
        group: &str,
        outcome: LeaseOutcome,
        now: Micros,
    ) {
        let Some(shard) = self.shards.get_mut(group) else {
            return;
        };
        match outcome {
            LeaseOutcome::Read {
                row,
                version,
                asked_at,
            } => shard.lease.row_read(row, version, asked_at, now),
            LeaseOutcome::Written { version } => shard.lease.row_written(version, now),
            LeaseOutcome::Refused => shard.lease.write_refused(),
            LeaseOutcome::Unknown => shard.lease.write_unknown(),
        }
    }

    /// Whether this process holds the lease of a group now.
    pub fn holds(
        &self,
        group: &str,
        now: Micros,
    ) -> bool {
        self.shards
            .get(group)
            .is_some_and(|s| s.lease.epoch(now).is_some())
    }

    /// Shards that this process holds now.
    pub fn held_shards(
        &self,
        now: Micros,
    ) -> Vec<String> {
        let held = self
            .shards
            .iter()
            .filter(|(_, s)| s.lease.epoch(now).is_some());
        held.map(|(group, _)| group.clone()).collect()
    }

    /// Hands all leases back, as at a planned stop.
    pub fn release(&mut self) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        for (group, shard) in &mut self.shards {
            if let Some(LeaseStep::Write { version, row }) = shard.lease.release() {
                actions.push(EntryAction::WriteLease {
                    shard: group.clone(),
                    version,
                    row,
                });
            }
        }
        actions
    }

    /// Moves leases on and gives the orders that are due.
    pub fn tick(
        &mut self,
        now: Micros,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        actions: &mut Vec<EntryAction>,
    ) {
        self.note_groups(roster);
        let groups: Vec<String> = self.shards.keys().cloned().collect();
        for group in groups {
            self.move_lease(&group, now, config, actions);
            self.order_loads(&group, now, config, roster, actions);
        }
    }

    fn note_groups(
        &mut self,
        roster: &EndpointRoster,
    ) {
        let engines = roster
            .arena
            .values()
            .filter(|s| matches!(s.kind, EndpointKind::Engine { .. }));
        let groups: BTreeSet<&String> = engines.map(|s| &s.group).collect();
        for group in groups {
            if !self.shards.contains_key(group) {
                let shard = GroupShard {
                    lease: LeaseMachine::new(self.me.clone(), self.times),
                    sequence: 0,
                    last_epoch: None,
                    ordered_at: BTreeMap::new(),
                };
                self.shards.insert(group.clone(), shard);
            }
        }
    }

    fn move_lease(
        &mut self,
        group: &str,
        now: Micros,
        config: &FleetConfig,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(shard) = self.shards.get_mut(group) else {
            return;
        };
        match shard.lease.step(now) {
            LeaseStep::Wait => {}
            LeaseStep::Read => actions.push(EntryAction::ReadLease {
                shard: group.to_string(),
            }),
            LeaseStep::Write { version, row } => actions.push(EntryAction::WriteLease {
                shard: group.to_string(),
                version,
                row,
            }),
        }
        let epoch = shard.lease.epoch(now);
        if epoch != shard.last_epoch {
            shard.last_epoch = epoch;
            shard.sequence = 0;
            shard.ordered_at.clear();
            actions.push(EntryAction::Log(lease_line(group, epoch, config.revision)));
        }
    }

    fn order_loads(
        &mut self,
        group: &str,
        now: Micros,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(shard) = self.shards.get_mut(group) else {
            return;
        };
        let Some(epoch) = shard.lease.epoch(now) else {
            return;
        };
        shard.ordered_at.retain(|id, at| {
            let waiting = roster.get(id).is_some_and(|e| e.loading.is_some());
            waiting && now.since(*at) < ORDER_PATIENCE
        });
        for step in due_loads(group, config, roster) {
            let Some(state) = roster.arena.get(step.endpoint).cloned() else {
                continue;
            };
            shard.sequence += 1;
            shard.ordered_at.insert(state.id.clone(), now);
            if let Some(entry) = roster.get_mut(&state.id) {
                entry.loading = Some(step.version.clone());
            }
            actions.push(EntryAction::Log(PlacementLine {
                decision: PlacementKind::LoadOrdered,
                subject: state.id.clone(),
                reason: format!("version {} is wanted; epoch {epoch}", step.version),
                revision: config.revision,
            }));
            actions.push(EntryAction::Order {
                endpoint_id: state.id.clone(),
                order: StampedOrder {
                    shard: group.to_string(),
                    stamp: OrderStamp {
                        epoch,
                        sequence: shard.sequence,
                    },
                    order: EndpointOrder::LoadVersion {
                        version: step.version,
                    },
                },
            });
        }
    }
}

fn due_loads(
    group: &str,
    config: &FleetConfig,
    roster: &EndpointRoster,
) -> Vec<LoadStep> {
    let mut engines = Vec::new();
    for (_, entry) in roster.iter() {
        let Some(state) = roster.arena.get(entry.key).filter(|s| s.group == group) else {
            continue;
        };
        let EndpointKind::Engine { model, version } = &state.kind else {
            continue;
        };
        let Some(wanted) = wanted_version(config, state, model) else {
            continue;
        };
        let load = roster.loads.get(entry.key);
        engines.push(EngineLoadView {
            endpoint: entry.key,
            version: version.clone(),
            wanted: wanted.to_string(),
            loading: entry.loading.clone(),
            running: load.map_or(0, |l| l.report.running),
            reachable: entry.linked && !state.leaving,
        });
    }
    plan_loads(&engines)
}

/// The version that an engine should hold: what its label says if the model has
/// that version, else the model's active one.
fn wanted_version<'a>(
    config: &'a FleetConfig,
    state: &'a EndpointState,
    model: &str,
) -> Option<&'a str> {
    let conf = config.models.get(model)?;
    let labelled = state
        .labels
        .get(VERSION_LABEL)
        .filter(|v| conf.versions.contains_key(*v));
    Some(labelled.unwrap_or(&conf.active))
}

fn lease_line(
    group: &str,
    epoch: Option<u64>,
    revision: u64,
) -> PlacementLine {
    let (decision, reason) = match epoch {
        Some(epoch) => (PlacementKind::LeaseTaken, format!("epoch {epoch}")),
        None => (PlacementKind::LeaseLost, "lapsed or taken over".to_string()),
    };
    PlacementLine {
        decision,
        subject: group.to_string(),
        reason,
        revision,
    }
}
