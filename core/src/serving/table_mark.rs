use std::collections::BTreeMap;

/// A number for the content of a table: it differs where any row does, and is kept up row by
/// row.
#[derive(Debug, Clone, Default)]
pub struct TableMark {
    rows: BTreeMap<String, u32>,
    sum: u32,
}

impl TableMark {
    /// Takes what a row says.
    pub fn set(
        &mut self,
        key: &str,
        content: &[u8],
    ) {
        let number = row_number(key, content);
        let before = self.rows.insert(key.to_string(), number);
        self.sum = self.sum.wrapping_sub(before.unwrap_or(0));
        self.sum = self.sum.wrapping_add(number);
    }

    /// Takes that a row is gone.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        if let Some(number) = self.rows.remove(key) {
            self.sum = self.sum.wrapping_sub(number);
        }
    }

    /// All rows are read anew.
    pub fn clear(&mut self) {
        *self = TableMark::default();
    }

    /// The number.
    pub fn number(&self) -> u32 {
        self.sum
    }
}

fn row_number(
    key: &str,
    content: &[u8],
) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(content);
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(first)
}
