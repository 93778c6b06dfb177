use {
    super::{ChangeRecord, FleetConfig},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of recent changes stored for peers that need to catch up.
const MAX_HISTORY_CHANGES: usize = 256;

/// The most recent changes, with consecutive revisions, so that a peer that lags
/// does not have to fetch the whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChangeHistory {
    records: VecDeque<ChangeRecord>,
}

/// What a process sends to a peer with an older configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerConfig {
    /// The changes after the peer's revision.
    Changes(Vec<ChangeRecord>),
    /// The whole configuration, if the history does not reach back to the peer's revision.
    Whole(Box<FleetConfig>),
}

impl ChangeHistory {
    /// Appends changes. Known revisions are skipped; a gap discards all older changes.
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
            if self.records.len() > MAX_HISTORY_CHANGES {
                self.records.pop_front();
            }
        }
    }

    /// What a peer at revision `since` needs to reach `config`.
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
