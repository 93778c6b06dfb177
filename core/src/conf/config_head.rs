use {
    super::{ChangeError, ChangeRecord, ConfigChange, FleetConfig},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Log length from which a writer compacts the log into a new base document.
pub const COMPACTION_THRESHOLD: usize = 64;
/// Maximum number of compacted change ids that are stored, so that late retries are recognised.
pub const MAX_COMPACTED_IDS: usize = 512;

/// The table row that defines the current configuration.
///
/// It names a base document in the object store and holds the changes made since.
/// It is only ever replaced by compare-and-set, so a change takes effect either
/// completely or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the base document; zero for the empty configuration.
    pub base_revision: u64,
    /// Name of the base document in the object store. Two writers that compact at the
    /// same time write different documents; only the one that wins the compare-and-set
    /// is named here.
    #[serde(default)]
    pub base_name: String,
    /// Changes after the base document, in revision order.
    pub tail: VecDeque<ChangeRecord>,
    /// Ids and revisions of changes that were compacted into the base document.
    pub settled: VecDeque<CompactedChange>,
}

/// A change that has been compacted into the base document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactedChange {
    /// Id of the change.
    pub change_id: String,
    /// Revision it created.
    pub revision: u64,
}

impl ConfigHead {
    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.tail.back().map_or(self.base_revision, |r| r.revision)
    }

    /// The revision created by a change; `None` if the change is not known to be accepted.
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

    /// Returns the head with one more change in the log.
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

    /// Whether the log has reached [`COMPACTION_THRESHOLD`].
    pub fn needs_compaction(&self) -> bool {
        self.tail.len() >= COMPACTION_THRESHOLD
    }

    /// Returns the head after the whole log was compacted into the base document `base_name`.
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
        while settled.len() > MAX_COMPACTED_IDS {
            settled.pop_front();
        }
        ConfigHead {
            base_revision: self.revision(),
            base_name,
            tail: VecDeque::new(),
            settled,
        }
    }

    /// Returns `config` with the changes from the log that it lacks.
    ///
    /// A newer configuration is returned unchanged: revisions never decrease.
    ///
    /// # Errors
    /// [`ChangeError::RevisionGap`] if a revision is missing between `config` and the log, and
    /// the error of the first change that cannot be applied.
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
