use {
    super::{BoxNotice, BoxRole, EntryAction, MissingNotice, StoredNotice, StoredPiece},
    crate::{
        kv_cache::{PieceDirectory, PieceHolder, PieceKey, StoreTier, StoredCopy},
        place::{InventoryPiece, StoreInventory},
        route::{StoreKey, StoreState},
        time::Micros,
    },
    slotmap::SlotMap,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Link rate of a store box before anything was measured, in bytes a second.
pub const DEFAULT_LINK_RATE: f64 = 1.0e9;
/// Disk rate of a store box, in bytes a second.
pub const DEFAULT_DISK_RATE: f64 = 4.0e8;
/// Sealed pieces that are remembered until a store box has listed them itself.
const STORED_MEMORY: usize = 20_000;
/// Time between two evictions on one store box.
const EVICT_PAUSE: Micros = Micros::from_millis(200);
/// How often a store box is asked for all that it holds.
const LIST_INTERVAL: Micros = Micros::from_secs(30);

#[derive(Debug)]
struct StoreEntry {
    key: StoreKey,
    listed_at: Micros,
    evicted_at: Option<Micros>,
    ledger: StoreInventory,
}

/// All store boxes that this process knows, with what is sealed on them.
#[derive(Debug, Default)]
pub struct StoreRoster {
    /// Arena shared with the routing table.
    pub arena: SlotMap<StoreKey, StoreState>,
    entries: BTreeMap<String, StoreEntry>,
    stored_since_list: Vec<StoredNotice>,
}

/// Pieces that a full store box should drop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEviction {
    /// Where the box listens.
    pub address: SocketAddr,
    /// The pieces.
    pub pieces: Vec<StoredPiece>,
}

impl StoreRoster {
    /// Takes in the box list; gives the names of boxes that are on it no more.
    pub fn note_boxes(
        &mut self,
        now: Micros,
        boxes: &[BoxNotice],
        actions: &mut Vec<EntryAction>,
    ) -> Vec<String> {
        let stores = boxes
            .iter()
            .filter(|b| b.role == BoxRole::Store && !b.leaving);
        let stores: Vec<&BoxNotice> = stores.collect();
        for notice in &stores {
            self.note_box(now, notice, actions);
        }
        let listed = |id: &String| stores.iter().any(|notice| &notice.id == id);
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

    fn note_box(
        &mut self,
        now: Micros,
        notice: &BoxNotice,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(entry) = self.entries.get(&notice.id) {
            let known = self.arena.get(entry.key);
            if known.is_some_and(|state| state.address == notice.address) {
                return;
            }
            self.arena.remove(entry.key);
        }
        let key = self.arena.insert(StoreState {
            id: notice.id.clone(),
            group: notice.group.clone(),
            address: notice.address,
            link_rate: DEFAULT_LINK_RATE,
            link_queue: 0,
            disk_rate: DEFAULT_DISK_RATE,
        });
        let entry = StoreEntry {
            key,
            listed_at: now,
            evicted_at: None,
            ledger: StoreInventory::default(),
        };
        self.entries.insert(notice.id.clone(), entry);
        actions.push(EntryAction::ListStore {
            store: notice.id.clone(),
            address: notice.address,
        });
    }

    /// Asks the boxes that were not listed for long.
    pub fn ask_lists(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        for (id, entry) in &mut self.entries {
            if now.since(entry.listed_at) < LIST_INTERVAL {
                continue;
            }
            entry.listed_at = now;
            self.stored_since_list.retain(|notice| &notice.store != id);
            if let Some(state) = self.arena.get(entry.key) {
                actions.push(EntryAction::ListStore {
                    store: id.clone(),
                    address: state.address,
                });
            }
        }
    }

    /// Replaces all that is known of a store box by its own list.
    pub fn listed(
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
        // A new key voids all that is noted under the old one.
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
        entry.ledger.reconcile(listed);
        // The list may be older than what agents have told since it was asked for.
        for notice in std::mem::take(&mut self.stored_since_list) {
            self.stored(notice, directory);
        }
    }

    /// Notes how fast the link of a store box was; false when it is not known.
    pub fn measured(
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

    /// Notes a sealed piece.
    pub fn stored(
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
        entry.ledger.add(notice.identity, piece);
        if self.stored_since_list.len() < STORED_MEMORY {
            self.stored_since_list.push(notice);
        }
    }

    /// Forgets a copy, unless a newer one is known by now.
    pub fn missing(
        &self,
        notice: &MissingNotice,
        directory: &mut PieceDirectory,
    ) {
        let Some(entry) = self.entries.get(&notice.store) else {
            return;
        };
        let is_gone = |holder: &PieceHolder| match holder {
            PieceHolder::Store(copy) => {
                copy.store == entry.key && copy.generation == notice.generation
            }
            PieceHolder::Endpoint(_) => false,
        };
        let gone = directory.holders(notice.key).find(is_gone);
        if let Some(holder) = gone {
            directory.remove(notice.key, &holder);
        }
    }

    /// Chooses what a full store box drops, whole prompts by their chance to return.
    ///
    /// `controls` tells whether this process may decide for a group: only one
    /// should, so that several do not each free their part.
    pub fn evict(
        &mut self,
        now: Micros,
        store: &str,
        controls: impl Fn(&str) -> bool,
        chance: impl Fn(PieceKey) -> f64,
    ) -> Option<StoreEviction> {
        let entry = self.entries.get_mut(store)?;
        let state = self.arena.get(entry.key)?;
        let lately = entry
            .evicted_at
            .is_some_and(|at| now.since(at) < EVICT_PAUSE);
        if lately || !controls(&state.group) {
            return None;
        }
        entry.evicted_at = Some(now);
        let evicted = entry.ledger.evict(chance);
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
