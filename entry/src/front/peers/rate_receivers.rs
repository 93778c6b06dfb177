use {
    crate::front::FrontState,
    pitchhitch_core::{
        serving::{mix_bits, EndpointKey, OrganisationRate},
        time::Micros,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
    },
};

/// Number of agents that add up the fronts' rates. One could be paused, and sums from all of them
/// would double the size of every digest.
const RECEIVERS: usize = 3;
/// Age of a report up to which an agent is used: its digests are late by less if it is running.
const MAX_REPORT_AGE: Micros = Micros::from_secs(3);

/// Agents that receive this front's rates by organisation. All fronts rank the agents that report
/// in the same order, so that each of the selected ones hears of all fronts.
pub(crate) fn select_rate_receivers(
    state: &FrontState,
    engines: &BTreeMap<SocketAddr, EndpointKey>,
    rates: &[OrganisationRate],
    now: Micros,
) -> BTreeSet<SocketAddr> {
    if rates.is_empty() {
        return BTreeSet::new();
    }
    let is_reporting = |key: &EndpointKey| {
        let load = state.registry.get(*key).and_then(|entry| entry.load);
        load.is_some_and(|load| now.since(load.at) < MAX_REPORT_AGE)
    };
    let reporting = engines.iter().filter(|(_, key)| is_reporting(key));
    let mut ranked: Vec<(u64, SocketAddr)> = reporting
        .map(|(address, _)| (rank(address.ip()), *address))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(RECEIVERS)
        .map(|(_, address)| address)
        .collect()
}

fn rank(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => mix_bits(u64::from(address.to_bits())),
        IpAddr::V6(address) => mix_bits(address.to_bits() as u64),
    }
}
