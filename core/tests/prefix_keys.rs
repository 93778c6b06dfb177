//! Piece keys differ between organisations, versions and prompts.

use pitchhitch_core::kv_cache::{estimate_tokens, prefix_keys, PieceKey, PIECE_TEXT_BYTES};

fn text(pieces: usize) -> Vec<u8> {
    (0..pieces * PIECE_TEXT_BYTES + 100)
        .map(|n| (n % 253) as u8)
        .collect()
}

#[test]
fn organisation_keys_differ() {
    let ours = prefix_keys("mvinyo-01", "v1", &text(4));
    let theirs = prefix_keys("mvinyo-02", "v1", &text(4));
    assert!(ours.iter().all(|key| !theirs.contains(key)));
}

#[test]
fn names_are_delimited() {
    let one = prefix_keys("ab", "c", &text(2));
    let other = prefix_keys("a", "bc", &text(2));
    assert!(one.iter().all(|key| !other.contains(key)));
}

#[test]
fn version_keys_differ() {
    let old = prefix_keys("mvinyo-01", "v1", &text(4));
    let new = prefix_keys("mvinyo-01", "v2", &text(4));
    assert!(old.iter().all(|key| !new.contains(key)));
}

#[test]
fn common_prefix_equal() {
    let mut longer = text(4);
    longer.truncate(3 * PIECE_TEXT_BYTES);
    longer.extend_from_slice(&[7; PIECE_TEXT_BYTES]);
    let one = prefix_keys("org", "v1", &text(4));
    let other = prefix_keys("org", "v1", &longer);
    assert_eq!(one[..3], other[..3]);
    assert_ne!(one[3], other[3]);
}

#[test]
fn early_change_propagates() {
    let mut changed = text(4);
    changed[0] ^= 1;
    let one = prefix_keys("org", "v1", &text(4));
    let other = prefix_keys("org", "v1", &changed);
    assert!(one.iter().zip(&other).all(|(a, b)| a != b));
}

#[test]
fn short_prompt_keyless() {
    assert!(prefix_keys("org", "v1", b"hello").is_empty());
    assert_eq!(estimate_tokens(5), 2);
}

#[test]
fn key_text_parsing() {
    let key = PieceKey(7);
    assert_eq!(key.to_string().parse(), Ok(key));
    for bad in ["", "7", "zz", "00000000000000000000000000000000f"] {
        assert!(bad.parse::<PieceKey>().is_err(), "{bad}");
    }
}
