use {
    super::{PieceKey, StoreTier},
    crate::route::{EndpointKey, StoreKey},
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

/// The holders of one piece, in as little room as the usual cases allow.
#[derive(Debug, Clone)]
enum HolderList {
    Endpoint(EndpointKey),
    Store(Arc<StoredCopy>),
    Many(Arc<Vec<PieceHolder>>),
}

impl HolderList {
    fn iter(&self) -> impl Iterator<Item = PieceHolder> + '_ {
        let (one, many): (Option<PieceHolder>, &[PieceHolder]) = match self {
            HolderList::Endpoint(key) => (Some(PieceHolder::Endpoint(*key)), &[]),
            HolderList::Store(copy) => (Some(PieceHolder::Store(**copy)), &[]),
            HolderList::Many(holders) => (None, holders),
        };
        one.into_iter().chain(many.iter().copied())
    }

    fn from_vec(holders: Vec<PieceHolder>) -> Option<HolderList> {
        match holders.as_slice() {
            [] => None,
            [PieceHolder::Endpoint(key)] => Some(HolderList::Endpoint(*key)),
            [PieceHolder::Store(copy)] => Some(HolderList::Store(Arc::new(*copy))),
            _ => Some(HolderList::Many(Arc::new(holders))),
        }
    }
}

/// Pieces that are known at most.
const PIECE_LIMIT: usize = 400_000;
/// Buckets of the directory, by the first bits of a key.
const BUCKET_COUNT: usize = 4_096;
const BUCKET_BITS: u32 = BUCKET_COUNT.trailing_zeros();

/// Short form of a key. Two pieces may share one: then a hint is wrong, which
/// the full key shows as soon as somebody asks the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ShortKey(u64);

impl ShortKey {
    fn of(key: PieceKey) -> Self {
        ShortKey((key.0 >> 64) as u64)
    }

    fn bucket(self) -> usize {
        (self.0 >> (u64::BITS - BUCKET_BITS)) as usize
    }
}

#[derive(Debug, Clone)]
struct DirectoryEntry {
    key: ShortKey,
    holders: HolderList,
}

type Bucket = Vec<DirectoryEntry>;

/// Who holds which piece, as far as this process has heard.
///
/// It is a hint: events come late and with gaps, so the agent checks before
/// anything is read. Clones share all buckets that neither side has changed
/// since, so that a snapshot for the traffic threads costs next to nothing.
#[derive(Debug, Clone)]
pub struct PieceDirectory {
    buckets: Arc<Vec<Arc<Bucket>>>,
    length: usize,
}

impl Default for PieceDirectory {
    fn default() -> Self {
        PieceDirectory {
            buckets: Arc::new(vec![Arc::default(); BUCKET_COUNT]),
            length: 0,
        }
    }
}

impl PieceDirectory {
    /// Number of pieces known.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no piece is known.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All known holders of a piece; some may be gone by now.
    pub fn holders(
        &self,
        key: PieceKey,
    ) -> impl Iterator<Item = PieceHolder> + '_ {
        let short = ShortKey::of(key);
        let bucket = &self.buckets[short.bucket()];
        let position = bucket.binary_search_by_key(&short, |row| row.key);
        let row = position.ok().map(|index| &bucket[index]);
        row.into_iter().flat_map(|row| row.holders.iter())
    }

    /// Notes a holder. A newer copy on the same store box replaces the older one.
    pub fn add(
        &mut self,
        key: PieceKey,
        holder: PieceHolder,
    ) {
        let mut holders: Vec<PieceHolder> = self.holders(key).collect();
        if holders.contains(&holder) {
            return;
        }
        holders.retain(|h| !same_location(h, &holder));
        holders.push(holder);
        self.replace(ShortKey::of(key), holders);
    }

    /// Notes a holder, unless that would be one piece too many for the memory.
    pub fn add_bounded(
        &mut self,
        key: PieceKey,
        holder: PieceHolder,
    ) {
        if self.length < PIECE_LIMIT || self.holders(key).next().is_some() {
            self.add(key, holder);
        }
    }

    /// Forgets a holder.
    pub fn remove(
        &mut self,
        key: PieceKey,
        holder: &PieceHolder,
    ) {
        let mut holders: Vec<PieceHolder> = self.holders(key).collect();
        let before = holders.len();
        holders.retain(|h| !same_location(h, holder));
        if holders.len() != before {
            self.replace(ShortKey::of(key), holders);
        }
    }

    /// Forgets every holder that `is_gone` in some buckets from `cursor` on, and
    /// gives the cursor for the next call. After enough calls all were looked at.
    pub fn sweep(
        &mut self,
        cursor: usize,
        buckets: usize,
        is_gone: impl Fn(&PieceHolder) -> bool,
    ) -> usize {
        for step in 0..buckets {
            let index = (cursor + step) % BUCKET_COUNT;
            let stale: Vec<ShortKey> = self.buckets[index]
                .iter()
                .filter(|row| row.holders.iter().any(|holder| is_gone(&holder)))
                .map(|row| row.key)
                .collect();
            for key in stale {
                self.remove_gone_holders(key, &is_gone);
            }
        }
        (cursor + buckets) % BUCKET_COUNT
    }

    fn remove_gone_holders(
        &mut self,
        key: ShortKey,
        is_gone: &impl Fn(&PieceHolder) -> bool,
    ) {
        let bucket = &self.buckets[key.bucket()];
        if let Ok(index) = bucket.binary_search_by_key(&key, |row| row.key) {
            let holders = bucket[index].holders.iter();
            let left: Vec<PieceHolder> = holders.filter(|holder| !is_gone(holder)).collect();
            self.replace(key, left);
        }
    }

    fn replace(
        &mut self,
        key: ShortKey,
        holders: Vec<PieceHolder>,
    ) {
        let buckets = Arc::make_mut(&mut self.buckets);
        let bucket = Arc::make_mut(&mut buckets[key.bucket()]);
        let position = bucket.binary_search_by_key(&key, |row| row.key);
        match (position, HolderList::from_vec(holders)) {
            (Ok(index), Some(holders)) => bucket[index].holders = holders,
            (Ok(index), None) => {
                bucket.remove(index);
                self.length -= 1;
            }
            (Err(index), Some(holders)) => {
                // Buckets are many and small: room to spare would add up.
                bucket.reserve_exact(1);
                bucket.insert(index, DirectoryEntry { key, holders });
                self.length += 1;
            }
            (Err(_), None) => {}
        }
    }
}

fn same_location(
    a: &PieceHolder,
    b: &PieceHolder,
) -> bool {
    match (a, b) {
        (PieceHolder::Endpoint(a), PieceHolder::Endpoint(b)) => a == b,
        (PieceHolder::Store(a), PieceHolder::Store(b)) => a.store == b.store,
        _ => false,
    }
}
