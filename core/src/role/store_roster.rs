use {
    super::{BoxRole, EntryAction, ListedBox, MissingNotice, StoredNotice, StoredPiece},
    crate::{
        kv_cache::{PieceDirectory, PieceHolder, PieceKey, StoreTier, StoredCopy},
        place::{InventoryPiece, StoreInventory},
        route::{StoreKey, StoreState},
        time::Micros,
    },
    slotmap::SlotMap,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Transfer rate of a store box before it was measured, in bytes per second.
pub const DEFAULT_LINK_BYTES_PER_S: f64 = 1.0e9;
/// Disk rate of a store box, in bytes per second.
pub const DEFAULT_DISK_BYTES_PER_S: f64 = 4.0e8;
/// Maximum number of stored pieces, over all store boxes, that are tracked until the next listing.
const MAX_UNLISTED_PIECES: usize = 20_000;
/// Minimum time between two evictions on a store box.
const MIN_EVICT_INTERVAL: Micros = Micros::from_millis(200);
/// Interval of full listings of a store box.
const LIST_INTERVAL: Micros = Micros::from_secs(30);

#[derive(Debug)]
struct StoreEntry {
    key: StoreKey,
    listed_at: Micros,
    evicted_at: Option<Micros>,
    inventory: StoreInventory,
}

/// Store boxes that this process knows, with the pieces stored on them.
#[derive(Debug, Default)]
pub struct StoreRoster {
    /// Store states by key, copied into the routing table.
    pub arena: SlotMap<StoreKey, StoreState>,
    entries: BTreeMap<String, StoreEntry>,
    stored_since_listing: Vec<StoredNotice>,
}

/// Pieces to evict from a full store box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEviction {
    /// Address of the store box.
    pub address: SocketAddr,
    /// The pieces.
    pub pieces: Vec<StoredPiece>,
}

impl StoreRoster {
    /// Applies the box list and returns the names of store boxes that are no longer on it.
    pub fn update_boxes(
        &mut self,
        now: Micros,
        boxes: &[ListedBox],
        actions: &mut Vec<EntryAction>,
    ) -> Vec<String> {
        let stores = boxes
            .iter()
            .filter(|b| b.role == BoxRole::Store && !b.leaving);
        let stores: Vec<&ListedBox> = stores.collect();
        for listed_box in &stores {
            self.update_box(now, listed_box, actions);
        }
        let listed = |id: &String| stores.iter().any(|listed_box| &listed_box.id == id);
        let lost: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in &lost {
            if let Some(entry) = self.entries.remove(id) {
                self.arena.remove(entry.key);
            }
        }
        lost
    }

    fn update_box(
        &mut self,
        now: Micros,
        listed_box: &ListedBox,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(entry) = self.entries.get(&listed_box.id) {
            let known = self.arena.get(entry.key);
            if known.is_some_and(|state| state.address == listed_box.address) {
                return;
            }
            self.arena.remove(entry.key);
        }
        let key = self.arena.insert(StoreState {
            id: listed_box.id.clone(),
            group: listed_box.group.clone(),
            address: listed_box.address,
            link_rate: DEFAULT_LINK_BYTES_PER_S,
            link_queue: 0,
            disk_rate: DEFAULT_DISK_BYTES_PER_S,
        });
        let entry = StoreEntry {
            key,
            listed_at: now,
            evicted_at: None,
            inventory: StoreInventory::default(),
        };
        self.entries.insert(listed_box.id.clone(), entry);
        actions.push(EntryAction::ListStore {
            store: listed_box.id.clone(),
            address: listed_box.address,
        });
    }

    /// Requests listings of the store boxes whose last one is older than the interval.
    pub fn request_listings(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        for (id, entry) in &mut self.entries {
            if now.since(entry.listed_at) < LIST_INTERVAL {
                continue;
            }
            entry.listed_at = now;
            self.stored_since_listing
                .retain(|notice| &notice.store != id);
            if let Some(state) = self.arena.get(entry.key) {
                actions.push(EntryAction::ListStore {
                    store: id.clone(),
                    address: state.address,
                });
            }
        }
    }

    /// Replaces the known pieces of a store box by its listing.
    pub fn replace_listing(
        &mut self,
        now: Micros,
        store: &str,
        pieces: &[StoredPiece],
        directory: &mut PieceDirectory,
    ) {
        let Some(entry) = self.entries.get_mut(store) else {
            return;
        };
        let Some(state) = self.arena.remove(entry.key) else {
            return;
        };
        // The new key invalidates all references to the old one.
        entry.key = self.arena.insert(state);
        entry.listed_at = now;
        let mut listed = Vec::with_capacity(pieces.len());
        for piece in pieces {
            let copy = StoredCopy {
                store: entry.key,
                tier: piece.tier,
                generation: piece.generation,
            };
            directory.add_bounded(piece.key, PieceHolder::Store(copy));
            listed.push(InventoryPiece {
                key: piece.key,
                generation: piece.generation,
            });
        }
        entry.inventory.reconcile(listed);
        // Agents may have reported pieces after the listing was made.
        for notice in std::mem::take(&mut self.stored_since_listing) {
            self.add_piece(notice, directory);
        }
    }

    /// Sets the measured transfer rate of a store box; returns false when the box is unknown.
    pub fn set_link_rate(
        &mut self,
        store: &str,
        link_rate: f64,
    ) -> bool {
        let entry = self.entries.get(store);
        let state = entry.and_then(|entry| self.arena.get_mut(entry.key));
        match state {
            Some(state) => {
                state.link_rate = link_rate.max(1.0);
                true
            }
            None => false,
        }
    }

    /// Adds a stored piece.
    pub fn add_piece(
        &mut self,
        notice: StoredNotice,
        directory: &mut PieceDirectory,
    ) {
        let Some(entry) = self.entries.get_mut(&notice.store) else {
            return;
        };
        let copy = StoredCopy {
            store: entry.key,
            tier: notice.tier,
            generation: notice.generation,
        };
        directory.add_bounded(notice.key, PieceHolder::Store(copy));
        let piece = InventoryPiece {
            key: notice.key,
            generation: notice.generation,
        };
        entry.inventory.add(notice.identity, piece);
        if self.stored_since_listing.len() < MAX_UNLISTED_PIECES {
            self.stored_since_listing.push(notice);
        }
    }

    /// Removes a stored piece that was not found; another generation of it stays.
    pub fn remove_piece(
        &self,
        notice: &MissingNotice,
        directory: &mut PieceDirectory,
    ) {
        let Some(entry) = self.entries.get(&notice.store) else {
            return;
        };
        let is_missing = |holder: &PieceHolder| match holder {
            PieceHolder::Store(copy) => {
                copy.store == entry.key && copy.generation == notice.generation
            }
            PieceHolder::Endpoint(_) => false,
        };
        let missing = directory.holders(notice.key).find(is_missing);
        if let Some(holder) = missing {
            directory.remove(notice.key, &holder);
        }
    }

    /// Chooses the pieces to evict from a full store box: whole prompts, least likely reused
    /// first.
    ///
    /// `holds_lease` returns whether this process holds the lease of a group. Only the holder
    /// evicts, so that several processes do not free space for the same shortage.
    pub fn evict(
        &mut self,
        now: Micros,
        store: &str,
        holds_lease: impl Fn(&str) -> bool,
        reuse_probability: impl Fn(PieceKey) -> f64,
    ) -> Option<StoreEviction> {
        let entry = self.entries.get_mut(store)?;
        let state = self.arena.get(entry.key)?;
        let evicted_recently = entry
            .evicted_at
            .is_some_and(|at| now.since(at) < MIN_EVICT_INTERVAL);
        if evicted_recently || !holds_lease(&state.group) {
            return None;
        }
        entry.evicted_at = Some(now);
        let evicted = entry.inventory.evict(reuse_probability);
        let pieces = evicted.iter().map(|piece| StoredPiece {
            key: piece.key,
            tier: StoreTier::Memory,
            generation: piece.generation,
        });
        Some(StoreEviction {
            address: state.address,
            pieces: pieces.collect(),
        })
    }
}
