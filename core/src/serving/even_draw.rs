/// A number from 0 to 1 that is drawn from a text, the same everywhere; those of texts that
/// differ in one letter are spread as evenly as any.
pub fn even_draw(text: &str) -> f64 {
    let hash = blake3::hash(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(first) >> 11) as f64 / (1u64 << 53) as f64
}
