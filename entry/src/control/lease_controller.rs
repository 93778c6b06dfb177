use {
    super::ControlHandle,
    pitchhitch_core::{
        lease::LeaseRow,
        role::{EntryEvent, LEASE_PREFIX},
    },
    pitchhitch_platform::{
        process::ProcessClock,
        table::{CommitOutcome, RowWrite, TableClient},
    },
};

/// Reads and writes lease rows for the core. Each call is made once: what comes
/// of it, lost answers included, is the core's to judge.
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
    /// Reads a lease row. Without an answer nothing is told; the core asks again.
    pub async fn read(
        self,
        shard: String,
    ) {
        let asked_at = self.clock.now();
        let Ok(row) = self.table.read_row(&format!("{LEASE_PREFIX}{shard}")).await else {
            return;
        };
        let version = row.as_ref().map_or(0, |r| r.version);
        let row = match row {
            None => None,
            Some(row) => match serde_json::from_str::<LeaseRow>(&row.value) {
                Ok(lease) => Some(lease),
                Err(error) => {
                    let error = error.to_string();
                    log::error!(event = "lease-row-damaged", shard = shard.as_str(), error = error.as_str(); "");
                    return;
                }
            },
        };
        self.control.tell(EntryEvent::LeaseRead {
            shard,
            row,
            version,
            asked_at,
        });
    }

    /// Replaces a lease row.
    pub async fn write(
        self,
        shard: String,
        version: u64,
        row: LeaseRow,
    ) {
        let Ok(value) = serde_json::to_string(&row) else {
            return;
        };
        let write = RowWrite {
            key: format!("{LEASE_PREFIX}{shard}"),
            expected: version,
            value: Some(value),
        };
        let event = match self.table.commit(&[write]).await {
            CommitOutcome::Done { versions } => EntryEvent::LeaseWritten {
                shard,
                version: versions.first().copied().unwrap_or_default(),
            },
            CommitOutcome::Conflict { .. } => EntryEvent::LeaseRefused { shard },
            CommitOutcome::Unknown { .. } => EntryEvent::LeaseUnknown { shard },
        };
        self.control.tell(event);
    }
}
