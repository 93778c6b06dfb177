use {
    super::{ChangeRecord, FleetConfig},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Changes that are remembered for peers that are behind.
const HISTORY_LIMIT: usize = 256;

/// The last changes, without gaps, so that peers need not fetch everything.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChangeHistory {
    records: VecDeque<ChangeRecord>,
}

/// What a process gives to a peer that is behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerConfig {
    /// The changes after the peer's revision.
    Changes(Vec<ChangeRecord>),
    /// The whole configuration, where the changes are not remembered.
    Whole(Box<FleetConfig>),
}

impl ChangeHistory {
    /// Remembers changes; a gap before them makes it forget the older ones.
    pub fn append(
        &mut self,
        records: impl IntoIterator<Item = ChangeRecord>,
    ) {
        for record in records {
            let last = self.records.back().map(|r| r.revision);
            if last.is_some_and(|last| record.revision <= last) {
                continue;
            }
            if last.is_some_and(|last| record.revision != last + 1) {
                self.records.clear();
            }
            self.records.push_back(record);
            if self.records.len() > HISTORY_LIMIT {
                self.records.pop_front();
            }
        }
    }

    /// What a peer at a revision needs to come up to `config`.
    pub fn for_peer(
        &self,
        since: u64,
        config: &FleetConfig,
    ) -> PeerConfig {
        let covers_start = self
            .records
            .front()
            .is_some_and(|first| first.revision <= since + 1);
        let covers_end = self
            .records
            .back()
            .is_some_and(|last| last.revision == config.revision);
        if since >= config.revision {
            return PeerConfig::Changes(Vec::new());
        }
        if !covers_start || !covers_end {
            return PeerConfig::Whole(Box::new(config.clone()));
        }
        let newer = self.records.iter().filter(|r| r.revision > since);
        PeerConfig::Changes(newer.cloned().collect())
    }
}
