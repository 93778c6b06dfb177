use {
    pitchhitch_services::table::{
        CommitRequest, CommitResponse, ReadRequest, ReadResponse, RowWrite, TableRow,
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Rows of the fake table service.
#[derive(Debug, Default)]
pub struct TableRows {
    state: Mutex<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<String, TableRow>,
    last_version: u64,
    reads: u64,
    writes: u64,
}

/// Calls that the table has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableCalls {
    /// Reads, each of any number of rows.
    pub reads: u64,
    /// Commits, each of any number of rows.
    pub writes: u64,
}

impl TableRows {
    /// Reads rows.
    pub fn read(
        &self,
        request: &ReadRequest,
    ) -> ReadResponse {
        let mut state = self.lock();
        state.reads += 1;
        let rows = request
            .keys
            .iter()
            .filter_map(|key| state.rows.get(key).cloned());
        ReadResponse {
            rows: rows.collect(),
        }
    }

    /// Writes all rows, or none if a row does not have its expected version.
    pub fn commit(
        &self,
        request: &CommitRequest,
    ) -> CommitResponse {
        let mut state = self.lock();
        state.writes += 1;
        let conflicts = request.writes.iter().filter(|write| {
            let found = state.rows.get(&write.key).map_or(0, |row| row.version);
            found != write.expected
        });
        let keys: Vec<String> = conflicts.map(|write| write.key.clone()).collect();
        if !keys.is_empty() {
            return CommitResponse::Conflict { keys };
        }
        let versions = request
            .writes
            .iter()
            .map(|write| state.write(write))
            .collect();
        CommitResponse::Done { versions }
    }

    /// Calls answered so far.
    pub fn calls(&self) -> TableCalls {
        let state = self.lock();
        TableCalls {
            reads: state.reads,
            writes: state.writes,
        }
    }

    /// The value of a row.
    pub fn value(
        &self,
        key: &str,
    ) -> Option<String> {
        self.lock().rows.get(key).map(|row| row.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    fn write(
        &mut self,
        write: &RowWrite,
    ) -> u64 {
        self.last_version += 1;
        let version = self.last_version;
        match &write.value {
            None => {
                self.rows.remove(&write.key);
            }
            Some(value) => {
                let row = TableRow {
                    key: write.key.clone(),
                    version,
                    value: value.clone(),
                };
                self.rows.insert(write.key.clone(), row);
            }
        }
        version
    }
}
