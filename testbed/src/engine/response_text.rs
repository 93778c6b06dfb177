/// The words with which a fake engine answers a prompt.
///
/// They depend only on the prompt and the weight version, so that a replay can detect wrong or
/// cut-off responses and responses to another request.
#[derive(Debug, Clone)]
pub struct ResponseText {
    seed: [u8; 32],
}

impl ResponseText {
    /// The response to a prompt.
    pub fn new(
        prompt: &[u8],
        version: &str,
    ) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(version.as_bytes());
        hasher.update(&[0]);
        hasher.update(prompt);
        ResponseText {
            seed: *hasher.finalize().as_bytes(),
        }
    }

    /// One word; words are numbered from zero.
    pub fn word(
        &self,
        index: u32,
    ) -> String {
        let hash = blake3::keyed_hash(&self.seed, &index.to_le_bytes());
        let hex = hash.to_hex();
        format!("{} ", &hex[..6])
    }

    /// The first `count` words, joined.
    pub fn words(
        &self,
        count: u32,
    ) -> String {
        (0..count).map(|index| self.word(index)).collect()
    }
}
