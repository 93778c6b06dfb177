//! Endpoints that serve although they have no entry on the list.

use {
    crate::serving::{mix_hashes, stable_hash, EndpointKey, EndpointRegistry, EndpointRejoin},
    crate::time::Micros,
    std::collections::HashMap,
};

/// Time between two probes of an endpoint that serves without an entry: its leave shows only there.
const MIN_PROBE_INTERVAL: Micros = Micros::from_millis(800);
/// Time between two of a front's probes of such endpoints of one service: each front probes all of
/// them.
const PROBE_PACE: Micros = Micros::from_millis(50);
/// Number of endpoints of a service that disappear together, from which on lost heartbeats are a
/// likelier cause than leaves.
const MIN_UNLISTED: usize = 2;

/// Endpoints of one service.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    is_listed: bool,
    /// Those whose entries disappeared without an announced leave, by a hash that differs between
    /// fronts, so that they do not all begin with the same endpoint.
    away: Vec<(u64, EndpointKey)>,
}

impl EndpointRegistry {
    /// Lets endpoints be probed whose entries disappeared without an announced leave, where a service
    /// has no other ones: a store that takes no heartbeats, but answers reads, drops all of them.
    pub fn probe_unlisted(
        &mut self,
        box_id: &str,
        now: Micros,
    ) {
        let mut services: HashMap<&str, ServiceEndpoints> = HashMap::new();
        for (key, entry) in &self.entries {
            let service = services.entry(entry.service.as_str()).or_default();
            service.is_listed |= entry.is_listed();
            if !entry.is_superseded && entry.rejoin == EndpointRejoin::Away {
                let order = mix_hashes(stable_hash(box_id), stable_hash(&entry.id));
                service.away.push((order, key));
            }
        }
        let lost = services.into_values();
        let lost = lost.filter(|service| !service.is_listed && service.away.len() >= MIN_UNLISTED);
        let lost: Vec<ServiceEndpoints> = lost.collect();
        for service in lost {
            self.schedule_unlisted(service.away, now);
        }
    }

    fn schedule_unlisted(
        &mut self,
        mut away: Vec<(u64, EndpointKey)>,
        now: Micros,
    ) {
        away.sort_unstable();
        let pace = |count: usize| Micros(PROBE_PACE.0 * count as u64);
        let interval = MIN_PROBE_INTERVAL.max(pace(away.len()));
        for (index, (_, key)) in away.into_iter().enumerate() {
            let entry = &mut self.entries[key];
            entry.unlisted_interval = Some(interval);
            entry.rejoin = EndpointRejoin::Listed {
                failed_probes: 0,
                probe_at: now + pace(index),
            };
        }
    }
}
