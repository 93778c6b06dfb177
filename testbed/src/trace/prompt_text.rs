use {super::TraceRow, pitchhitch_core::kv_cache::PIECE_TEXT_BYTES};

/// Builds the prompt of a trace row: a pseudorandom block of text for each block id,
/// truncated to the length of the prompt.
pub fn prompt_text(row: &TraceRow) -> String {
    let length = row.input_length as usize * pitchhitch_core::kv_cache::BYTES_PER_TOKEN as usize;
    let mut text = String::with_capacity(length + PIECE_TEXT_BYTES);
    for id in &row.hash_ids {
        push_block_text(*id, &mut text);
    }
    text.truncate(length);
    text
}

fn push_block_text(
    id: u64,
    text: &mut String,
) {
    let mut bytes = [0; PIECE_TEXT_BYTES / 2];
    let mut reader = blake3::Hasher::new()
        .update(&id.to_le_bytes())
        .finalize_xof();
    reader.fill(&mut bytes);
    for byte in bytes {
        let hex_letter = |nibble: u8| char::from(b'a' + nibble);
        text.push(hex_letter(byte >> 4));
        text.push(hex_letter(byte & 15));
    }
}
