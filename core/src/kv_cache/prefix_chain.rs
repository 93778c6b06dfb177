use super::PieceKey;

/// Tokens per piece.
pub const PIECE_TOKENS: u32 = 512;
/// Assumed bytes of prompt text per token, as no tokenizer is available here.
pub const BYTES_PER_TOKEN: u32 = 4;
/// Bytes of prompt text per piece.
pub const PIECE_TEXT_BYTES: usize = (PIECE_TOKENS * BYTES_PER_TOKEN) as usize;

const CHAIN_CONTEXT: &str = "pitchhitch 2026-12 prefix chain";

/// Estimated number of tokens in a prompt of `text_bytes` bytes, rounded up.
pub fn estimate_tokens(text_bytes: usize) -> u32 {
    text_bytes.div_ceil(BYTES_PER_TOKEN as usize) as u32
}

/// Keys of all complete pieces of a prompt, in order.
///
/// The keys form a hash chain: each covers the text from the start of the prompt, so a
/// matching key implies that the whole prefix matches. Text after the last complete
/// piece has no key.
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
    // The length prefix distinguishes "ab"+"c" from "a"+"bc".
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
