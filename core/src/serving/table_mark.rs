use std::collections::BTreeMap;

/// Checksum of a table's content, updated row by row. It differs if any row does.
#[derive(Debug, Clone, Default)]
pub struct TableMark {
    rows: BTreeMap<String, u32>,
    sum: u32,
}

impl TableMark {
    /// Sets the content of a row.
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

    /// Removes a row.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        if let Some(number) = self.rows.remove(key) {
            self.sum = self.sum.wrapping_sub(number);
        }
    }

    /// Removes all rows before the table is read again.
    pub fn clear(&mut self) {
        *self = TableMark::default();
    }

    /// The checksum.
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
