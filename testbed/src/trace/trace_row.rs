use {
    anyhow::Context,
    serde::{Deserialize, Serialize},
    std::{fs, path::Path},
};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRow {
    /// Milliseconds since the start, before any compression of time.
    pub timestamp: u64,
    /// Prompt tokens; zero is a call of a plain service.
    pub input_length: u32,
    /// Answer tokens.
    pub output_length: u32,
    /// Ids of the blocks of 512 prompt tokens; equal ids are equal text.
    pub hash_ids: Vec<u64>,
    /// Organisation.
    pub organisation: String,
    /// Kind of work.
    pub label: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl TraceRow {
    /// Whether it is a call of a plain service.
    pub fn is_service_request(&self) -> bool {
        self.input_length == 0
    }
}

/// Reads a trace.
///
/// # Errors
/// Naming file and line of what cannot be read.
pub fn read_trace(path: &Path) -> anyhow::Result<Vec<TraceRow>> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("{}: cannot be read; name a trace file", path.display()))?;
    let mut rows = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let row = serde_json::from_str(line)
            .with_context(|| format!("{}: line {}: not a trace row", path.display(), index + 1))?;
        rows.push(row);
    }
    Ok(rows)
}

/// Writes a trace.
///
/// # Errors
/// When the file cannot be written.
pub fn write_trace(
    path: &Path,
    rows: &[TraceRow],
) -> anyhow::Result<()> {
    let mut text = String::new();
    for row in rows {
        text.push_str(&serde_json::to_string(row)?);
        text.push('\n');
    }
    fs::write(path, text).with_context(|| format!("{}: cannot be written", path.display()))
}
