use crate::serving::{mix_hashes, stable_hash};

/// Members among which keys are distributed by rendezvous hashing. Boxes that know the same members
/// choose the same ones for a key; if a member disappears, only its keys move.
#[derive(Debug, Clone)]
pub struct RendezvousSet<M> {
    members: Vec<(u64, M)>,
}

impl<M: Copy + Ord + ToString> RendezvousSet<M> {
    /// Set of these members.
    pub fn new(members: impl IntoIterator<Item = M>) -> Self {
        let members = members.into_iter();
        RendezvousSet {
            members: members.map(|m| (stable_hash(m.to_string()), m)).collect(),
        }
    }

    /// The members with the highest rank for a key.
    pub fn pick<const N: usize>(
        &self,
        key_hash: u64,
    ) -> Vec<M> {
        let mut best: Vec<(u64, M)> = Vec::with_capacity(N + 1);
        for (hash, member) in &self.members {
            let ranked = (mix_hashes(key_hash, *hash), *member);
            let position = best.partition_point(|known| *known > ranked);
            if position < N {
                best.insert(position, ranked);
                best.truncate(N);
            }
        }
        best.into_iter().map(|(_, member)| member).collect()
    }
}
