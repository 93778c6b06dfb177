use {super::FrontContext, pitchhitch_platform::RowError, std::collections::BTreeSet};

/// Keys that are remembered; of further ones no line is written.
const MAX_KEYS: usize = 500;

/// Rows of another writer in one table. Each is logged once: a writer may come back
/// to its row with every heartbeat.
#[derive(Debug)]
pub(super) struct ForeignRows {
    table: &'static str,
    keys: BTreeSet<String>,
}

impl ForeignRows {
    /// None is known in a table yet.
    pub fn new(table: &'static str) -> Self {
        ForeignRows {
            table,
            keys: BTreeSet::new(),
        }
    }

    /// Notes a row that is not what should lie under its key.
    pub fn record(
        &mut self,
        front: &FrontContext,
        key: &str,
        error: &RowError,
    ) {
        front.metrics.count("foreign_rows", self.table);
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

    /// Notes that the row under a key is sound, or gone.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        self.keys.remove(key);
    }

    /// Whether the row under a key was another writer's when last seen.
    pub fn contains(
        &self,
        key: &str,
    ) -> bool {
        self.keys.contains(key)
    }
}
