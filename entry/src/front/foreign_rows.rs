use {super::FrontContext, pitchhitch_platform::RowError, std::collections::BTreeSet};

/// Keys that are remembered; of further ones no line is written.
const KEYS_LIMIT: usize = 500;

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
    pub fn note(
        &mut self,
        front: &FrontContext,
        key: &str,
        fault: &RowError,
    ) {
        front.metrics.count("foreign_rows", self.table);
        let has_room = self.keys.len() < KEYS_LIMIT;
        if !has_room || !self.keys.insert(key.to_string()) {
            return;
        }
        let fault = fault.to_string();
        log::warn!(
            event = "foreign-row",
            table = self.table,
            key = key,
            fault = fault.as_str();
            ""
        );
    }

    /// Notes that the row under a key is sound, or gone.
    pub fn is_over(
        &mut self,
        key: &str,
    ) {
        self.keys.remove(key);
    }

    /// Whether the row under a key was another writer's when last seen.
    pub fn has(
        &self,
        key: &str,
    ) -> bool {
        self.keys.contains(key)
    }
}
