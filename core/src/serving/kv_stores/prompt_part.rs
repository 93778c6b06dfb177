use serde::{Deserialize, Serialize};

/// Part of a prompt. Requests that begin with the same parts share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Id of the text of this part.
    pub id: PartId,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Id of the text of a part: a hex number that keeps its number of digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId {
    value: u64,
    digits: u8,
}

impl PartId {
    /// Parses an id of up to 16 hex digits.
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = (1..=16).contains(&text.len());
        let value = is_valid
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()?;
        Some(PartId {
            value,
            digits: text.len() as u8,
        })
    }

    /// Value of the id, for hashing.
    pub fn value(self) -> u64 {
        self.value
    }
}

impl std::fmt::Display for PartId {
    fn fmt(
        &self,
        out: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        write!(out, "{:0width$x}", self.value, width = self.digits as usize)
    }
}
