use {
    super::StreamId,
    crate::serving::{mix_hashes, stable_hash},
    std::net::SocketAddr,
};

/// Number of agents that keep the origin of a stream.
const KEEPERS_PER_STREAM: usize = 3;

/// Agents that keep the origins of streams, or claims of prompt parts, on behalf of all fronts. Each
/// stream or part has its own few of them, which all fronts with the same list of engines find without asking each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeeperSet {
    /// Hash and address of each agent, by address.
    agents: Vec<(u64, SocketAddr)>,
}

impl KeeperSet {
    /// A set of these agents, in any order.
    pub fn new(agents: impl Iterator<Item = SocketAddr>) -> Self {
        let hashed = agents.map(|agent| (stable_hash(agent.to_string()), agent));
        let mut agents: Vec<(u64, SocketAddr)> = hashed.collect();
        agents.sort_unstable();
        agents.dedup();
        KeeperSet { agents }
    }

    /// Agents that the other set lacks.
    pub fn difference<'a>(
        &'a self,
        other: &'a KeeperSet,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let missing = self
            .agents
            .iter()
            .filter(|agent| other.agents.binary_search(agent).is_err());
        missing.map(|(_, agent)| *agent)
    }

    /// The agents that keep the origin of a stream. A change of the set changes those of few
    /// streams.
    pub fn keepers(
        &self,
        stream: StreamId,
    ) -> Vec<SocketAddr> {
        self.nearest(stream, KEEPERS_PER_STREAM)
    }

    /// The first `count` agents in the order of a stream.
    pub fn nearest(
        &self,
        stream: StreamId,
        count: usize,
    ) -> Vec<SocketAddr> {
        self.nearest_to(stream.hash(), count)
    }

    /// The first `count` agents in the order of what has this hash.
    pub fn nearest_to(
        &self,
        key_hash: u64,
        count: usize,
    ) -> Vec<SocketAddr> {
        let rank = |(hash, agent): &(u64, SocketAddr)| (mix_hashes(key_hash, *hash), *agent);
        let mut ranked: Vec<(u64, SocketAddr)> = self.agents.iter().map(rank).collect();
        let count = count.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
        }
        ranked.truncate(count);
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, agent)| agent).collect()
    }
}
