use {
    super::{PieceKey, StoreTier},
    crate::route::{EndpointKey, StoreKey},
    imbl::OrdMap,
    std::sync::Arc,
};

/// Somebody who holds a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceHolder {
    /// In the accelerator memory of an endpoint.
    Endpoint(EndpointKey),
    /// Sealed on a store box.
    Store(StoredCopy),
}

/// A sealed copy on a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredCopy {
    /// The box.
    pub store: StoreKey,
    /// The tier it is in.
    pub tier: StoreTier,
    /// Generation that readers must pin.
    pub generation: u64,
}

#[derive(Debug, Clone)]
enum HolderList {
    One(PieceHolder),
    Many(Arc<Vec<PieceHolder>>),
}

impl HolderList {
    fn as_slice(&self) -> &[PieceHolder] {
        match self {
            HolderList::One(holder) => std::slice::from_ref(holder),
            HolderList::Many(holders) => holders,
        }
    }

    fn from_vec(mut holders: Vec<PieceHolder>) -> Option<HolderList> {
        match holders.len() {
            0 => None,
            1 => holders.pop().map(HolderList::One),
            _ => Some(HolderList::Many(Arc::new(holders))),
        }
    }
}

/// Who holds which piece, as far as this process has heard.
///
/// It is a hint: events come late and with gaps, so the agent checks before
/// anything is read. Clones share their structure, so that a snapshot for the
/// traffic threads costs next to nothing.
#[derive(Debug, Clone, Default)]
pub struct PieceDirectory {
    holders: OrdMap<PieceKey, HolderList>,
}

impl PieceDirectory {
    /// Number of pieces known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no piece is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// All known holders of a piece; some may be gone by now.
    pub fn holders(
        &self,
        key: PieceKey,
    ) -> &[PieceHolder] {
        self.holders.get(&key).map_or(&[], HolderList::as_slice)
    }

    /// Notes a holder. A newer copy on the same store box replaces the older one.
    pub fn add(
        &mut self,
        key: PieceKey,
        holder: PieceHolder,
    ) {
        let mut holders = self.holders(key).to_vec();
        holders.retain(|h| !same_place(h, &holder));
        holders.push(holder);
        self.replace(key, holders);
    }

    /// Forgets a holder.
    pub fn remove(
        &mut self,
        key: PieceKey,
        holder: &PieceHolder,
    ) {
        let mut holders = self.holders(key).to_vec();
        holders.retain(|h| !same_place(h, holder));
        self.replace(key, holders);
    }

    /// Forgets every holder that `is_gone`, looking at the pieces from `from` on
    /// and at most at `limit` of them. Returns where to go on, or none at the end.
    pub fn sweep(
        &mut self,
        from: PieceKey,
        limit: usize,
        is_gone: impl Fn(&PieceHolder) -> bool,
    ) -> Option<PieceKey> {
        let mut stale = Vec::new();
        let mut next = None;
        for (count, (key, list)) in self.holders.range(from..).enumerate() {
            if count == limit {
                next = Some(*key);
                break;
            }
            if list.as_slice().iter().any(&is_gone) {
                stale.push(*key);
            }
        }
        for key in stale {
            let mut holders = self.holders(key).to_vec();
            holders.retain(|h| !is_gone(h));
            self.replace(key, holders);
        }
        next
    }

    fn replace(
        &mut self,
        key: PieceKey,
        holders: Vec<PieceHolder>,
    ) {
        match HolderList::from_vec(holders) {
            Some(list) => {
                self.holders.insert(key, list);
            }
            None => {
                self.holders.remove(&key);
            }
        }
    }
}

fn same_place(
    a: &PieceHolder,
    b: &PieceHolder,
) -> bool {
    match (a, b) {
        (PieceHolder::Endpoint(a), PieceHolder::Endpoint(b)) => a == b,
        (PieceHolder::Store(a), PieceHolder::Store(b)) => a.store == b.store,
        _ => false,
    }
}
