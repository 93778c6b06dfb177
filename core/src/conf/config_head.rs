use {
    super::{ChangeError, ChangeRecord, ConfigChange, FleetConfig},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Log entries beyond which a writer folds the log into a new base.
pub const TAIL_LIMIT: usize = 64;
/// Settled change ids that outlive folding, so that late retries are recognised.
pub const COMPACTED_ID_LIMIT: usize = 512;

/// The one row in the table that says which configuration is in force.
///
/// It names a base document in the object store and holds the changes since.
/// It is replaced by compare-and-set only, so a change is either wholly in
/// force or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the base document; zero is the empty configuration.
    pub base_revision: u64,
    /// Name of the base document in the object store. Two writers that fold at
    /// the same moment write different documents, and only the winner's is named here.
    #[serde(default)]
    pub base_name: String,
    /// Changes after the base, in order of revision.
    pub tail: VecDeque<ChangeRecord>,
    /// Ids and revisions of changes that were compacted into the base.
    pub settled: VecDeque<CompactedChange>,
}

/// A change that is part of the base by now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactedChange {
    /// Id of the change.
    pub change_id: String,
    /// Revision it made.
    pub revision: u64,
}

impl ConfigHead {
    /// The newest revision.
    pub fn revision(&self) -> u64 {
        self.tail.back().map_or(self.base_revision, |r| r.revision)
    }

    /// The revision that a change made, if it was accepted.
    pub fn change_revision(
        &self,
        change_id: &str,
    ) -> Option<u64> {
        let in_tail = self.tail.iter().find(|r| r.change_id == change_id);
        if let Some(record) = in_tail {
            return Some(record.revision);
        }
        let compacted = self.settled.iter().find(|s| s.change_id == change_id);
        compacted.map(|s| s.revision)
    }

    /// The head after one more change.
    pub fn with_change(
        &self,
        change_id: &str,
        operator: &str,
        at_secs: u64,
        change: ConfigChange,
    ) -> ConfigHead {
        let mut head = self.clone();
        head.tail.push_back(ChangeRecord {
            revision: self.revision() + 1,
            change_id: change_id.to_string(),
            operator: operator.to_string(),
            at_secs,
            change,
        });
        head
    }

    /// Whether the log is long enough to be compacted.
    pub fn needs_compaction(&self) -> bool {
        self.tail.len() >= TAIL_LIMIT
    }

    /// The head after its whole log went into a base document.
    pub fn compacted(
        &self,
        base_name: String,
    ) -> ConfigHead {
        let mut settled = self.settled.clone();
        for record in &self.tail {
            settled.push_back(CompactedChange {
                change_id: record.change_id.clone(),
                revision: record.revision,
            });
        }
        while settled.len() > COMPACTED_ID_LIMIT {
            settled.pop_front();
        }
        ConfigHead {
            base_revision: self.revision(),
            base_name,
            tail: VecDeque::new(),
            settled,
        }
    }

    /// Applies what `config` lacks.
    ///
    /// A configuration that is already newer stays as it is: revisions never go down.
    ///
    /// # Errors
    /// [`ChangeError::RevisionGap`] when the log does not join on to `config`.
    pub fn apply_to(
        &self,
        config: &FleetConfig,
    ) -> Result<FleetConfig, ChangeError> {
        let mut current = config.clone();
        for record in &self.tail {
            if record.revision <= current.revision {
                continue;
            }
            if record.revision != current.revision + 1 {
                return Err(ChangeError::RevisionGap {
                    from: current.revision,
                    to: record.revision,
                });
            }
            current.apply(&record.change)?;
        }
        Ok(current)
    }
}
