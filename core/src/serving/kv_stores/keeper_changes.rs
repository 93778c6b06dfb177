use {
    crate::{serving::KeeperSet, time::Micros},
    std::{collections::HashMap, net::SocketAddr},
};

/// Time after a change of the list of agents within which fronts may still use the previous list.
const SETTLE_TIME: Micros = Micros::from_secs(10);

/// Agents that were recently added to the list or removed from it.
#[derive(Debug, Default)]
pub struct KeeperChanges {
    changed_at: HashMap<SocketAddr, Micros>,
}

impl KeeperChanges {
    /// Records a change of the list.
    pub fn record(
        &mut self,
        previous: &KeeperSet,
        current: &KeeperSet,
        now: Micros,
    ) {
        self.changed_at.retain(|_, at| now.since(*at) < SETTLE_TIME);
        let changed = previous.difference(current);
        let changed = changed.chain(current.difference(previous));
        self.changed_at.extend(changed.map(|agent| (agent, now)));
    }

    /// Whether these agents, the first ones in the order of what has this hash, were so in all
    /// recent lists.
    pub fn is_settled(
        &self,
        nearest: &[SocketAddr],
        key_hash: u64,
        now: Micros,
    ) -> bool {
        let recent = self.changed_at.iter();
        let recent = recent.filter(|(_, at)| now.since(**at) < SETTLE_TIME);
        let recent: Vec<SocketAddr> = recent.map(|(agent, _)| *agent).collect();
        let all = KeeperSet::new(nearest.iter().chain(&recent).copied());
        let has_changed = nearest.iter().any(|agent| recent.contains(agent));
        !has_changed && all.nearest_to(key_hash, nearest.len()) == nearest
    }
}
