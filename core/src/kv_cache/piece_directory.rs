use {
    super::{PieceKey, StoreTier},
    crate::route::{EndpointKey, StoreKey},
    std::sync::Arc,
};

/// Holder of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceHolder {
    /// An endpoint has it in accelerator memory.
    Endpoint(EndpointKey),
    /// A store box has a sealed copy.
    Store(StoredCopy),
}

/// A sealed copy on a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredCopy {
    /// The store box.
    pub store: StoreKey,
    /// Storage tier of the copy.
    pub tier: StoreTier,
    /// Generation of the copy; readers must request exactly this one.
    pub generation: u64,
}

/// The holders of one piece, in a representation that is compact for a single holder, the
/// usual case.
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

/// Maximum number of pieces in the directory; only [`PieceDirectory::add_bounded`] enforces it.
const MAX_PIECES: usize = 400_000;
/// Number of buckets; the leading bits of a key select its bucket.
const BUCKET_COUNT: usize = 4_096;
const BUCKET_BITS: u32 = BUCKET_COUNT.trailing_zeros();

/// Upper half of a piece key. If two pieces share it, the directory may name a wrong
/// holder; this is detected when the holder is queried with the full key.
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

/// Directory of the holders of each piece, built from the events this process received.
///
/// Entries are hints: events arrive late and some are lost, so the agent verifies a
/// holder before it reads a piece. Clones share unmodified buckets (copy-on-write),
/// which makes snapshots for the traffic threads cheap.
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
    /// Number of pieces in the directory.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the directory is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All known holders of a piece; some may no longer have it.
    pub fn holders(
        &self,
        key: PieceKey,
    ) -> impl Iterator<Item = PieceHolder> + '_ {
        let short = ShortKey::of(key);
        let bucket = &self.buckets[short.bucket()];
        let position = bucket.binary_search_by_key(&short, |entry| entry.key);
        let entry = position.ok().map(|index| &bucket[index]);
        entry.into_iter().flat_map(|entry| entry.holders.iter())
    }

    /// Adds a holder. A newer copy on the same store box replaces the older one.
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
        self.set_holders(ShortKey::of(key), holders);
    }

    /// Adds a holder, unless the piece is new and the directory is full.
    pub fn add_bounded(
        &mut self,
        key: PieceKey,
        holder: PieceHolder,
    ) {
        if self.length < MAX_PIECES || self.holders(key).next().is_some() {
            self.add(key, holder);
        }
    }

    /// Removes a holder.
    pub fn remove(
        &mut self,
        key: PieceKey,
        holder: &PieceHolder,
    ) {
        let mut holders: Vec<PieceHolder> = self.holders(key).collect();
        let before = holders.len();
        holders.retain(|h| !same_location(h, holder));
        if holders.len() != before {
            self.set_holders(ShortKey::of(key), holders);
        }
    }

    /// Removes the holders for which `is_stale` is true from `buckets` buckets, starting at
    /// `cursor`, and returns the cursor for the next call. Repeated calls cover the whole
    /// directory.
    pub fn sweep(
        &mut self,
        cursor: usize,
        buckets: usize,
        is_stale: impl Fn(&PieceHolder) -> bool,
    ) -> usize {
        for step in 0..buckets {
            let index = (cursor + step) % BUCKET_COUNT;
            let stale: Vec<ShortKey> = self.buckets[index]
                .iter()
                .filter(|entry| entry.holders.iter().any(|holder| is_stale(&holder)))
                .map(|entry| entry.key)
                .collect();
            for key in stale {
                self.remove_stale_holders(key, &is_stale);
            }
        }
        (cursor + buckets) % BUCKET_COUNT
    }

    fn remove_stale_holders(
        &mut self,
        key: ShortKey,
        is_stale: &impl Fn(&PieceHolder) -> bool,
    ) {
        let bucket = &self.buckets[key.bucket()];
        if let Ok(index) = bucket.binary_search_by_key(&key, |entry| entry.key) {
            let holders = bucket[index].holders.iter();
            let remaining: Vec<PieceHolder> = holders.filter(|holder| !is_stale(holder)).collect();
            self.set_holders(key, remaining);
        }
    }

    fn set_holders(
        &mut self,
        key: ShortKey,
        holders: Vec<PieceHolder>,
    ) {
        let buckets = Arc::make_mut(&mut self.buckets);
        let bucket = Arc::make_mut(&mut buckets[key.bucket()]);
        let position = bucket.binary_search_by_key(&key, |entry| entry.key);
        match (position, HolderList::from_vec(holders)) {
            (Ok(index), Some(holders)) => bucket[index].holders = holders,
            (Ok(index), None) => {
                bucket.remove(index);
                self.length -= 1;
            }
            (Err(index), Some(holders)) => {
                // There are many small buckets, so spare capacity would add up.
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
