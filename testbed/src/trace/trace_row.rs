use {
    anyhow::Context,
    serde::{Deserialize, Serialize},
    std::{fs, path::Path},
};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRow {
    /// Time since the start of the trace in milliseconds, before any speed-up.
    pub timestamp: u64,
    /// Prompt tokens; 0 for a request to a plain service.
    pub input_length: u32,
    /// Output tokens.
    pub output_length: u32,
    /// Ids of the prompt's blocks of 512 tokens; equal ids mean equal text.
    pub hash_ids: Vec<u64>,
    /// Organisation.
    pub organisation: String,
    /// Label of the request.
    pub label: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl TraceRow {
    /// Whether this is a request to a plain service.
    pub fn is_service_request(&self) -> bool {
        self.input_length == 0
    }
}

/// Reads a trace file.
///
/// # Errors
/// When the file or a line cannot be read; the message names file and line.
pub fn read_trace(path: &Path) -> anyhow::Result<Vec<TraceRow>> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("{}: cannot read the trace file", path.display()))?;
    let mut rows = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let row = serde_json::from_str(line).with_context(|| {
            format!("{}: line {}: invalid trace row", path.display(), index + 1)
        })?;
        rows.push(row);
    }
    Ok(rows)
}

/// Writes a trace file.
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
    fs::write(path, text)
        .with_context(|| format!("{}: cannot write the trace file", path.display()))
}
