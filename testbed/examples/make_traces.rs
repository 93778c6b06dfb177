//! Generates the traces in `testbed/traces`; the same seeds give the same files.

use {
    pitchhitch_testbed::trace::{generate_trace, write_trace, TraceShape},
    std::path::Path,
};

const MVINYO_SEED: u64 = 11;
const FIELD_BOUNDARY_SEED: u64 = 12;

fn main() -> anyhow::Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mvinyo = generate_trace(&TraceShape::MVINYO, MVINYO_SEED);
    let field = generate_trace(&TraceShape::FIELD_BOUNDARY, FIELD_BOUNDARY_SEED);
    write_trace(&folder.join("mvinyo.jsonl"), &mvinyo)?;
    write_trace(&folder.join("field-boundary.jsonl"), &field)?;
    println!(
        "mvinyo: {} rows, field boundary: {} rows",
        mvinyo.len(),
        field.len()
    );
    Ok(())
}
