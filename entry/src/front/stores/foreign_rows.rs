use {crate::front::FrontContext, pitchhitch_platform::RowError, std::collections::BTreeSet};

/// Maximum number of tracked keys. Rows with further keys are not logged.
const MAX_KEYS: usize = 500;

/// Invalid rows of one table, which another program has written. Each is logged once, because its
/// writer may update it with every heartbeat.
#[derive(Debug)]
pub(crate) struct ForeignRows {
    table: &'static str,
    keys: BTreeSet<String>,
}

impl ForeignRows {
    /// Starts without any invalid row.
    pub fn new(table: &'static str) -> Self {
        ForeignRows {
            table,
            keys: BTreeSet::new(),
        }
    }

    /// Counts an invalid row, and logs it unless the row under its key was already invalid.
    pub fn record(
        &mut self,
        front: &FrontContext,
        key: &str,
        error: &RowError,
    ) {
        front.metrics.increment("foreign_rows", self.table);
        let has_capacity = self.keys.len() < MAX_KEYS;
        if !has_capacity || !self.keys.insert(key.to_string()) {
            return;
        }
        let error = error.to_string();
        log::warn!(
            event = "foreign-row",
            table = self.table,
            key = key,
            fault = error.as_str();
            ""
        );
    }

    /// Records that the row under a key is valid or deleted.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        self.keys.remove(key);
    }

    /// Whether the row under a key was invalid when it was last read.
    pub fn contains(
        &self,
        key: &str,
    ) -> bool {
        self.keys.contains(key)
    }
}
