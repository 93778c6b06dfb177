use {
    super::pool_demand::{total_demand, RunMix},
    crate::{
        serving::{
            stable_fraction, EndpointEntry, EndpointKey, EndpointRegistry, EndpointStatus,
            EnginePool,
        },
        time::Micros,
    },
    slotmap::SecondaryMap,
    std::collections::BTreeMap,
};

/// Share of their slots or memory that short prompts use in the engines reserved for them. The
/// rest takes bursts between two updates.
const POOL_UTILIZATION: f64 = 0.65;
/// Interval between updates of the pools of a service: a few digests of every agent.
const UPDATE_INTERVAL: Micros = Micros::from_millis(500);
/// Weight of an update in the moving average of the demand. Engines are reserved faster than they
/// are released, as a released one fills with long prompts for seconds.
const RISE_SMOOTHING: f64 = 0.5;
const FALL_SMOOTHING: f64 = 0.15;
/// Maximum share of the engines that is reserved.
const MAX_RESERVED_SHARE: f64 = 0.6;
/// Weight of an update in the moving averages of runs and sizes: pools that form for a few seconds
/// cost more than they gain.
const MIX_SMOOTHING: f64 = 0.15;
/// Time without prompts after which the pools of a service are forgotten.
const SERVICE_RETENTION: Micros = Micros::from_secs(60);

/// Engines reserved for short prompts, by service.
///
/// Long prompts delay the streams beside them and fill the memory that short ones need; a few
/// engines carry all short prompts. Boxes do not coordinate: all of them receive the same reports
/// and rank the engines in the same order, so that they differ by a few engines at most.
#[derive(Debug, Clone, Default)]
pub struct PromptPools {
    services: BTreeMap<String, ServicePools>,
    /// Pool of each engine of the services with pools.
    pools: SecondaryMap<EndpointKey, EnginePool>,
}

/// A service whose engines are divided into pools.
#[derive(Clone, Copy)]
pub struct PoolScope<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Configured memory of an engine, in tokens; 0 if unknown. Prompts are classified by it.
    pub capacity_tokens: u64,
    /// Whether an endpoint may receive requests of this box; the same at all boxes.
    pub is_usable: &'a dyn Fn(&EndpointEntry) -> bool,
}

/// Change of the number of reserved engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolChange {
    /// Moving average of the number of engines that short prompts would fill.
    pub demand: f64,
    /// Engines that could be reserved.
    pub engines: usize,
    /// Reserved engines.
    pub reserved: usize,
    /// Reserved engines before the change.
    pub previous: usize,
}

#[derive(Debug, Clone, Default)]
struct ServicePools {
    updated_at: Micros,
    /// Moving average of the number of engines that short prompts would fill; unset before the
    /// first update.
    demand: Option<f64>,
    /// Moving average of what runs; `None` until a run is reported.
    mix: Option<RunMix>,
    reserved: usize,
    /// Engines that have a pool.
    members: Vec<EndpointKey>,
}

impl PromptPools {
    /// Updates the pools of a service if they are due; returns whether the number of reserved
    /// engines has changed.
    pub fn update(
        &mut self,
        registry: &EndpointRegistry,
        scope: &PoolScope<'_>,
        now: Micros,
    ) -> Option<PoolChange> {
        let known = self.services.get(scope.service);
        if known.is_some_and(|known| now.since(known.updated_at) < UPDATE_INTERVAL) {
            return None;
        }
        self.forget_unused(now);
        let of_service = |(_, entry): &(EndpointKey, &EndpointEntry)| {
            entry.service == scope.service && entry.status != EndpointStatus::Leaving
        };
        let members: Vec<(EndpointKey, &EndpointEntry)> =
            registry.iter().filter(of_service).collect();
        let total = total_demand(&members, now);
        let usable = members.iter().copied();
        let usable = usable.filter(|(_, entry)| is_assignable(entry, now));
        let usable: Vec<_> = usable
            .filter(|(_, entry)| (scope.is_usable)(entry))
            .collect();
        let service = self.services.entry(scope.service.to_string()).or_default();
        let needs_pools = service.record_mix(&total.mix, now);
        // Without a configured memory no prompt could be classified here, and none would use the
        // pool.
        let sample = match needs_pools && scope.capacity_tokens > 0 {
            true => total.engines,
            false => 0.0,
        };
        let demand = service.smooth(sample, now);
        let most = (usable.len() as f64 * MAX_RESERVED_SHARE).floor();
        let reserved = (demand / POOL_UTILIZATION).round().min(most) as usize;
        for key in service.members.drain(..) {
            self.pools.remove(key);
        }
        if reserved > 0 {
            service.members.extend(members.iter().map(|(key, _)| *key));
            let open = service.members.iter();
            self.pools.extend(open.map(|key| (*key, EnginePool::Open)));
            for key in rank_engines(&usable).into_iter().take(reserved) {
                self.pools.insert(key, EnginePool::Reserved);
            }
        }
        let previous = std::mem::replace(&mut service.reserved, reserved);
        (reserved != previous).then_some(PoolChange {
            demand,
            engines: usable.len(),
            reserved,
            previous,
        })
    }

    /// Forgets services without prompts, such as those that are no longer configured.
    fn forget_unused(
        &mut self,
        now: Micros,
    ) {
        let pools = &mut self.pools;
        self.services.retain(|_, service| {
            let is_used = service.is_used(now);
            if !is_used {
                for key in service.members.drain(..) {
                    pools.remove(key);
                }
            }
            is_used
        });
    }

    /// Pool of an engine.
    pub fn pool_of(
        &self,
        key: EndpointKey,
    ) -> EnginePool {
        self.pools.get(key).copied().unwrap_or_default()
    }

    /// Number of engines of a service that are reserved for short prompts.
    pub fn reserved_count(
        &self,
        service: &str,
    ) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.reserved)
    }

    /// Whether engines of a service are reserved for short prompts.
    pub fn has_pools(
        &self,
        service: &str,
    ) -> bool {
        self.reserved_count(service) > 0
    }

    /// Number of reserved engines of each service that has had prompts recently.
    pub fn reserved_counts(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&str, usize)> {
        let used = self.services.iter();
        let used = used.filter(move |(_, service)| service.is_used(now));
        used.map(|(name, service)| (name.as_str(), service.reserved))
    }
}

impl ServicePools {
    fn is_used(
        &self,
        now: Micros,
    ) -> bool {
        now.since(self.updated_at) < SERVICE_RETENTION
    }

    /// Records what runs; returns whether that calls for pools.
    fn record_mix(
        &mut self,
        sample: &RunMix,
        now: Micros,
    ) -> bool {
        if sample.short_runs + sample.long_runs > 0.0 {
            let elapsed = now.since(self.updated_at).0 as f64 / UPDATE_INTERVAL.0 as f64;
            let smoothing = 1.0 - (1.0 - MIX_SMOOTHING).powf(elapsed);
            self.mix.get_or_insert(*sample).average(sample, smoothing);
        }
        self.mix.is_some_and(|mix| mix.needs_pools())
    }

    /// Moving average of the demand after a sample. The weight of a sample increases with the time
    /// since the one before, so that boxes with few requests agree with the others.
    fn smooth(
        &mut self,
        sample: f64,
        now: Micros,
    ) -> f64 {
        let elapsed = now.since(self.updated_at).0 as f64 / UPDATE_INTERVAL.0 as f64;
        self.updated_at = now;
        let smoothed = match self.demand {
            None => sample,
            Some(demand) => {
                let smoothing = match sample > demand {
                    true => RISE_SMOOTHING,
                    false => FALL_SMOOTHING,
                };
                demand + (1.0 - (1.0 - smoothing).powf(elapsed)) * (sample - demand)
            }
        };
        *self.demand.insert(smoothed)
    }
}

/// Whether the engine reports, and prompts are sent to it.
fn is_assignable(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let load = entry.fresh_load(now);
    !entry.is_superseded
        && load.is_some_and(|load| !load.is_silent && !load.is_swapping)
        && !entry.may_be_unreachable(now)
}

/// Engines in the order in which they are reserved: the same at all boxes, and the first ones are
/// spread over the failure domains.
fn rank_engines(engines: &[(EndpointKey, &EndpointEntry)]) -> Vec<EndpointKey> {
    let mut by_domain: BTreeMap<&str, Vec<(f64, EndpointKey)>> = BTreeMap::new();
    for (key, entry) in engines {
        let members = by_domain.entry(&entry.domain).or_default();
        members.push((stable_fraction(&entry.id), *key));
    }
    let domains = by_domain.len().max(1) as f64;
    let mut ranked = Vec::new();
    for (index, members) in by_domain.values_mut().enumerate() {
        members.sort_by(|a, b| a.0.total_cmp(&b.0));
        let size = members.len() as f64;
        for (position, (_, key)) in members.iter().enumerate() {
            ranked.push(((position as f64 + index as f64 / domains) / size, *key));
        }
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, key)| key).collect()
}
