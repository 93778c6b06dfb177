use {
    super::ControlHandle,
    pitchhitch_core::{
        lease::LeaseRow,
        role::{EntryEvent, LEASE_PREFIX},
        time::Micros,
    },
    pitchhitch_process::ProcessClock,
    pitchhitch_services::table::{CommitOutcome, RowWrite, TableClient, TableRow},
};

/// Reads and writes lease rows for the core. Calls are not retried here: the core
/// handles every outcome, including lost responses.
#[derive(Debug, Clone)]
pub struct LeaseController {
    /// The table service.
    pub table: TableClient,
    /// The control thread.
    pub control: ControlHandle,
    /// Clock of the process.
    pub clock: ProcessClock,
}

impl LeaseController {
    /// Reads lease rows and reports them to the core. A failed read is not reported;
    /// the core requests the rows again.
    pub async fn read(
        self,
        shards: Vec<String>,
    ) {
        let requested_at = self.clock.now();
        let keys: Vec<String> = shards
            .iter()
            .map(|s| format!("{LEASE_PREFIX}{s}"))
            .collect();
        let Ok(rows) = self.table.read(&keys).await else {
            return;
        };
        for shard in shards {
            let key = format!("{LEASE_PREFIX}{shard}");
            let row = rows.iter().find(|row| row.key == key);
            self.report_row(shard, row, requested_at);
        }
    }

    fn report_row(
        &self,
        shard: String,
        row: Option<&TableRow>,
        requested_at: Micros,
    ) {
        let lease = match row.map(|row| serde_json::from_str::<LeaseRow>(&row.value)) {
            None => None,
            Some(Ok(lease)) => Some(lease),
            Some(Err(error)) => {
                let error = error.to_string();
                log::error!(event = "lease-row-damaged", shard = shard.as_str(), error = error.as_str(); "");
                return;
            }
        };
        self.control.send_event(EntryEvent::LeaseRead {
            shard,
            row: lease,
            version: row.map_or(0, |row| row.version),
            requested_at,
        });
    }

    /// Replaces lease rows in one commit. On a conflict, the rows that another process
    /// has changed are reported and the others are committed again without them.
    pub async fn write_all(
        self,
        mut writes: Vec<LeaseWrite>,
    ) {
        while !writes.is_empty() {
            let rows: Vec<RowWrite> = writes.iter().filter_map(LeaseWrite::row_write).collect();
            if rows.len() != writes.len() {
                return;
            }
            match self.table.commit(&rows).await {
                CommitOutcome::Done { versions } => {
                    for (write, version) in writes.drain(..).zip(versions) {
                        let shard = write.shard;
                        self.control
                            .send_event(EntryEvent::LeaseWritten { shard, version });
                    }
                }
                CommitOutcome::Conflict { keys } => {
                    let previous_count = writes.len();
                    writes = self.report_conflicts(writes, &keys);
                    if writes.len() == previous_count {
                        return;
                    }
                }
                CommitOutcome::Unknown { .. } => {
                    for write in writes.drain(..) {
                        self.control
                            .send_event(EntryEvent::LeaseWriteUnknown { shard: write.shard });
                    }
                }
            }
        }
    }

    /// Reports the writes with conflicting keys to the core and returns the others.
    fn report_conflicts(
        &self,
        writes: Vec<LeaseWrite>,
        keys: &[String],
    ) -> Vec<LeaseWrite> {
        let is_conflicting = |write: &LeaseWrite| keys.contains(&write.key());
        let (conflicting, others): (Vec<_>, Vec<_>) = writes.into_iter().partition(is_conflicting);
        for write in conflicting {
            self.control
                .send_event(EntryEvent::LeaseWriteConflict { shard: write.shard });
        }
        others
    }
}

/// A conditional write of a lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Shard of the lease.
    pub shard: String,
    /// Version that the row must still have in the table.
    pub version: u64,
    /// The new row.
    pub row: LeaseRow,
}

impl LeaseWrite {
    fn key(&self) -> String {
        format!("{LEASE_PREFIX}{}", self.shard)
    }

    fn row_write(&self) -> Option<RowWrite> {
        Some(RowWrite {
            key: self.key(),
            expected: self.version,
            value: Some(serde_json::to_string(&self.row).ok()?),
        })
    }
}
