use {
    super::ControlHandle,
    pitchhitch_core::{
        lease::LeaseRow,
        role::{EntryEvent, LEASE_PREFIX},
        time::Micros,
    },
    pitchhitch_platform::{
        process::ProcessClock,
        table::{CommitOutcome, RowWrite, TableClient, TableRow},
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
    /// Reads lease rows. Without an answer nothing is told; the core asks again.
    pub async fn read(
        self,
        shards: Vec<String>,
    ) {
        let asked_at = self.clock.now();
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
            self.tell_row(shard, row, asked_at);
        }
    }

    fn tell_row(
        &self,
        shard: String,
        row: Option<&TableRow>,
        asked_at: Micros,
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
        self.control.tell(EntryEvent::LeaseRead {
            shard,
            row: lease,
            version: row.map_or(0, |row| row.version),
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
