use super::PieceKey;

/// Tokens in one piece.
pub const PIECE_TOKENS: u32 = 512;
/// Bytes of prompt text taken for one token where no tokenizer is at hand.
pub const BYTES_PER_TOKEN: u32 = 4;
/// Bytes of prompt text in one piece.
pub const PIECE_TEXT_BYTES: usize = (PIECE_TOKENS * BYTES_PER_TOKEN) as usize;

const CHAIN_CONTEXT: &str = "pitchhitch 2026-12 prefix chain";

/// Tokens in a prompt of so many bytes, rounded up.
pub fn estimate_tokens(text_bytes: usize) -> u32 {
    text_bytes.div_ceil(BYTES_PER_TOKEN as usize) as u32
}

/// Keys of all whole pieces of a prompt, first piece first.
///
/// Each key covers the text from the start, so a key that is found stands for
/// the whole prefix. The text after the last whole piece has no key.
pub fn prefix_keys(
    organisation: &str,
    version: &str,
    text: &[u8],
) -> Vec<PieceKey> {
    let mut state = salt(organisation, version);
    let mut keys = Vec::with_capacity(text.len() / PIECE_TEXT_BYTES);
    for block in text.chunks_exact(PIECE_TEXT_BYTES) {
        state = *blake3::keyed_hash(&state, block).as_bytes();
        keys.push(piece_key(&state));
    }
    keys
}

fn salt(
    organisation: &str,
    version: &str,
) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key(CHAIN_CONTEXT);
    // The length in front keeps "ab"+"c" and "a"+"bc" apart.
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(version.as_bytes());
    *hasher.finalize().as_bytes()
}

fn piece_key(state: &[u8; 32]) -> PieceKey {
    let mut half = [0; 16];
    half.copy_from_slice(&state[..16]);
    PieceKey(u128::from_le_bytes(half))
}
