use {
    super::{
        EndpointOrder, EndpointRoster, EntryAction, PlacementKind, PlacementLine, ShardLeases,
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

/// Endpoint label with the version to load instead of the model's active one.
pub const VERSION_LABEL: &str = "version";
/// Time after which an order without a reported outcome is abandoned.
const ORDER_TIMEOUT: Micros = Micros::from_secs(60);

/// Orders the engines of each group to load weights, under the lease of the group's shard.
#[derive(Debug, Default)]
pub struct WeightLoadController {
    ordered_at: BTreeMap<String, Micros>,
}

impl WeightLoadController {
    /// Issues the orders that are due for the groups whose lease this process holds.
    pub fn tick(
        &mut self,
        now: Micros,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        leases: &mut ShardLeases,
        actions: &mut Vec<EntryAction>,
    ) {
        self.expire_orders(now, roster);
        for group in outdated_groups(config, roster) {
            if leases.epoch(&group, now).is_none() {
                continue;
            }
            for weight_load in due_loads(&group, config, roster) {
                self.issue_order(now, &group, weight_load, config, roster, leases, actions);
            }
        }
    }

    /// Abandons orders whose outcome was not reported in time.
    fn expire_orders(
        &mut self,
        now: Micros,
        roster: &mut EndpointRoster,
    ) {
        self.ordered_at.retain(|id, ordered_at| {
            let Some(entry) = roster.get_mut(id) else {
                return false;
            };
            if now.since(*ordered_at) >= ORDER_TIMEOUT {
                entry.loading = None;
            }
            entry.loading.is_some()
        });
    }

    #[allow(clippy::too_many_arguments)]
    fn issue_order(
        &mut self,
        now: Micros,
        group: &str,
        weight_load: WeightLoad,
        config: &FleetConfig,
        roster: &mut EndpointRoster,
        leases: &mut ShardLeases,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(state) = roster.arena.get(weight_load.endpoint).cloned() else {
            return;
        };
        let Some(stamp) = leases.next_stamp(group, now) else {
            return;
        };
        self.ordered_at.insert(state.id.clone(), now);
        if let Some(entry) = roster.get_mut(&state.id) {
            entry.loading = Some(weight_load.version.clone());
        }
        actions.push(EntryAction::Log(PlacementLine {
            decision: PlacementKind::LoadOrdered,
            subject: state.id.clone(),
            reason: format!(
                "version {} is wanted; epoch {}",
                weight_load.version, stamp.epoch
            ),
            revision: config.revision,
        }));
        actions.push(EntryAction::Order {
            endpoint_id: state.id.clone(),
            order: StampedOrder {
                shard: shard_of(group),
                stamp,
                order: EndpointOrder::LoadVersion {
                    version: weight_load.version,
                },
            },
        });
    }
}

/// Returns the groups that have an engine without its wanted version.
fn outdated_groups(
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

/// Returns the groups that have engines.
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

/// Returns the version that an engine should load: the one in its label if the model has that
/// version, else the model's active one.
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
