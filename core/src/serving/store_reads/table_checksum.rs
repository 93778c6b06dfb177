use std::collections::BTreeMap;

/// Checksum of a table's content, updated row by row. It differs if any row does.
#[derive(Debug, Clone, Default)]
pub struct TableChecksum {
    rows: BTreeMap<String, u32>,
    sum: u32,
}

impl TableChecksum {
    /// Sets the content of a row.
    pub fn set(
        &mut self,
        key: &str,
        content: &[u8],
    ) {
        let hash = row_hash(key, content);
        let before = self.rows.insert(key.to_string(), hash);
        self.sum = self.sum.wrapping_sub(before.unwrap_or(0));
        self.sum = self.sum.wrapping_add(hash);
    }

    /// Removes a row.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        if let Some(hash) = self.rows.remove(key) {
            self.sum = self.sum.wrapping_sub(hash);
        }
    }

    /// Removes all rows before the table is read again.
    pub fn clear(&mut self) {
        *self = TableChecksum::default();
    }

    /// The checksum.
    pub fn value(&self) -> u32 {
        self.sum
    }
}

fn row_hash(
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
