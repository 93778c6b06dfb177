use {
    super::{
        EndpointOrder, EndpointRoster, EntryAction, PlacementKind, PlacementLine, ShardKeeper,
        StampedOrder,
    },
    crate::{
        conf::FleetConfig,
        lease::shard_of,
        place::{plan_weight_loads, EngineWeights, WeightLoad},
        route::{EndpointKind, EndpointState},
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Label that says which version an endpoint should hold, instead of the active one.
pub const VERSION_LABEL: &str = "version";
/// Time after which an order that nobody reported on is given up.
const ORDER_PATIENCE: Micros = Micros::from_secs(60);

/// Gives load orders to the engines of each group, under the lease of its shard.
#[derive(Debug, Default)]
pub struct LoadController {
    ordered_at: BTreeMap<String, Micros>,
}

impl LoadController {
    /// Gives the orders that are due.
    pub fn tick(
        &mut self,
        now: Micros,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        keeper: &mut ShardKeeper,
        actions: &mut Vec<EntryAction>,
    ) {
        self.forget_old_orders(now, roster);
        for group in groups_behind(config, roster) {
            if keeper.epoch(&group, now).is_none() {
                continue;
            }
            for step in due_loads(&group, config, roster) {
                self.order(now, &group, step, config, roster, keeper, actions);
            }
        }
    }

    /// An order whose outcome never came is not waited for any longer.
    fn forget_old_orders(
        &mut self,
        now: Micros,
        roster: &mut EndpointRoster,
    ) {
        self.ordered_at.retain(|id, ordered_at| {
            let Some(entry) = roster.get_mut(id) else {
                return false;
            };
            if now.since(*ordered_at) >= ORDER_PATIENCE {
                entry.loading = None;
            }
            entry.loading.is_some()
        });
    }

    #[allow(clippy::too_many_arguments)]
    fn order(
        &mut self,
        now: Micros,
        group: &str,
        step: WeightLoad,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        keeper: &mut ShardKeeper,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(state) = roster.arena.get(step.endpoint).cloned() else {
            return;
        };
        let Some(stamp) = keeper.next_stamp(group, now) else {
            return;
        };
        self.ordered_at.insert(state.id.clone(), now);
        if let Some(entry) = roster.get_mut(&state.id) {
            entry.loading = Some(step.version.clone());
        }
        actions.push(EntryAction::Log(PlacementLine {
            decision: PlacementKind::LoadOrdered,
            subject: state.id.clone(),
            reason: format!("version {} is wanted; epoch {}", step.version, stamp.epoch),
            revision: config.revision,
        }));
        actions.push(EntryAction::Order {
            endpoint_id: state.id.clone(),
            order: StampedOrder {
                shard: shard_of(group),
                stamp,
                order: EndpointOrder::LoadVersion {
                    version: step.version,
                },
            },
        });
    }
}

/// Groups with an engine that does not hold the version it should.
fn groups_behind(
    config: &FleetConfig,
    roster: &EndpointRoster,
) -> BTreeSet<String> {
    let mut groups = BTreeSet::new();
    for state in roster.arena.values() {
        let EndpointKind::Engine { model, version } = &state.kind else {
            continue;
        };
        let wanted = wanted_version(config, state, model);
        if wanted.is_some_and(|wanted| wanted != version) && !groups.contains(&state.group) {
            groups.insert(state.group.clone());
        }
    }
    groups
}

/// Groups that have engines.
pub fn engine_groups(roster: &EndpointRoster) -> BTreeSet<String> {
    let states = roster.arena.values();
    let engines = states.filter(|s| matches!(s.kind, EndpointKind::Engine { .. }));
    let mut groups = BTreeSet::new();
    for state in engines {
        if !groups.contains(&state.group) {
            groups.insert(state.group.clone());
        }
    }
    groups
}

fn due_loads(
    group: &str,
    config: &FleetConfig,
    roster: &EndpointRoster,
) -> Vec<WeightLoad> {
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
        engines.push(EngineWeights {
            endpoint: entry.key,
            version: version.clone(),
            wanted: wanted.to_string(),
            loading: entry.loading.clone(),
            running: load.map_or(0, |l| l.report.running),
            reachable: entry.linked && !state.leaving,
        });
    }
    plan_weight_loads(&engines)
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
