/// Hash of a text, the same on all boxes. Hashes are evenly distributed, also those of texts that
/// differ in one character only.
pub fn stable_hash(text: impl AsRef<[u8]>) -> u64 {
    let hash = blake3::hash(text.as_ref());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Hash of a text as a fraction from 0 to below 1.
pub fn stable_fraction(text: &str) -> f64 {
    unit_fraction(stable_hash(text))
}

/// Maps an evenly distributed number to a fraction from 0 to below 1.
pub fn unit_fraction(number: u64) -> f64 {
    (number >> 11) as f64 / (1u64 << 53) as f64
}

/// Combines two hashes into one, to rank many pairs.
pub fn mix_hashes(
    one: u64,
    other: u64,
) -> u64 {
    mix_bits(one ^ other.rotate_left(32))
}

/// Mixes a number so that each bit of the result depends on all of its bits.
pub fn mix_bits(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
