use {crate::serving::stable_hash, std::collections::BTreeSet};

/// Organisations that share cached parts with each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharingGroup {
    members: BTreeSet<String>,
    tag: u64,
}

impl SharingGroup {
    /// Group of these organisations.
    pub fn new(members: BTreeSet<String>) -> Self {
        let mut text = Vec::new();
        for name in &members {
            text.extend_from_slice(&(name.len() as u64).to_le_bytes());
            text.extend_from_slice(name.as_bytes());
        }
        // 0 means that no organisations are configured.
        let tag = match members.is_empty() {
            true => 0,
            false => stable_hash(text).max(1),
        };
        SharingGroup { members, tag }
    }

    /// Number that identifies the set of members, the same on all boxes.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// Whether an organisation belongs to the group.
    pub fn contains(
        &self,
        organisation: &str,
    ) -> bool {
        self.members.contains(organisation)
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the group has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
