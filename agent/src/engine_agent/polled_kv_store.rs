use {
    pitchhitch_core::{
        serving::{NamespaceTag, PartId},
        time::Micros,
    },
    pitchhitch_platform::{KvChange, KvList},
    pitchhitch_wire::engine_agent::{KvStorePart, KvStoreUpdate},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// Maximum number of parts in an update with the whole content of a store: it fits into one
/// datagram. Fronts read larger stores themselves.
const MAX_CONTENT_PARTS: usize = 1_500;
/// Number of digests that contain a change: some may get lost.
const DIGESTS_PER_CHANGE: u64 = 3;
/// Maximum number of changes in the update of one store.
const MAX_CHANGES: usize = 400;

/// Latest responses of one store.
#[derive(Debug)]
pub(super) struct PolledKvStore {
    pub(super) epoch: u64,
    pub(super) clock_ms: Option<u64>,
    pub(super) sent_at: Micros,
    pub(super) answered_at: Micros,
    pub(super) from: u64,
    pub(super) next: u64,
    pub(super) parts: VecDeque<(KvStorePart, Micros)>,
    /// Complete parts: tokens by namespace and id.
    pub(super) content: BTreeMap<(NamespaceTag, PartId), u32>,
    pub(super) salts: BTreeMap<NamespaceTag, String>,
}

impl PolledKvStore {
    /// A store whose list was just read.
    pub(super) fn from_list(
        list: &KvList,
        sent_at: Micros,
        now: Micros,
    ) -> Self {
        let mut polled_store = PolledKvStore {
            epoch: list.epoch,
            clock_ms: None,
            sent_at,
            answered_at: now,
            // Earlier changes are unknown here: a front that lacks them asks for the whole content.
            from: list.next,
            next: list.next,
            parts: VecDeque::new(),
            content: BTreeMap::new(),
            salts: BTreeMap::new(),
        };
        for part in &list.complete {
            polled_store.set_part(part);
        }
        polled_store
    }

    pub(super) fn set_part(
        &mut self,
        change: &KvChange,
    ) -> NamespaceTag {
        let namespace = NamespaceTag::of(&change.salt);
        match change.tokens {
            0 => self.content.remove(&(namespace, change.id)),
            tokens => self.content.insert((namespace, change.id), tokens),
        };
        self.salts
            .entry(namespace)
            .or_insert_with(|| change.salt.clone());
        namespace
    }

    /// The whole content; `None` if it does not fit into a datagram or its clock is unknown.
    pub(super) fn to_content(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> Option<KvStoreUpdate> {
        if self.content.len() > MAX_CONTENT_PARTS || self.clock_ms.is_none() {
            return None;
        }
        let parts = self.content.iter();
        let parts = parts.map(|((namespace, id), tokens)| KvStorePart {
            number: self.next,
            namespace: *namespace,
            id: *id,
            tokens: *tokens,
        });
        let is_used = |namespace: &NamespaceTag| self.content.keys().any(|(n, _)| n == namespace);
        let salts = self
            .salts
            .iter()
            .filter(|(namespace, _)| is_used(namespace));
        Some(KvStoreUpdate {
            parts: parts.collect(),
            is_whole: true,
            salts: salts.map(|(_, salt)| salt.clone()).collect(),
            ..self.to_update(store, now)
        })
    }

    pub(super) fn to_update(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> KvStoreUpdate {
        KvStoreUpdate {
            store,
            epoch: self.epoch,
            clock_ms: self.clock_ms,
            answered: now.since(self.answered_at),
            age: now.since(self.sent_at),
            from: self.from,
            next: self.next,
            parts: self.parts.iter().map(|(part, _)| *part).collect(),
            is_whole: false,
            salts: Vec::new(),
        }
    }

    /// Removes changes that enough digests, sent at this interval, have contained.
    pub(super) fn prune(
        &mut self,
        digest_interval: Micros,
        now: Micros,
    ) {
        let report_period = Micros(digest_interval.0 * DIGESTS_PER_CHANGE);
        let is_old = |(_, at): &(KvStorePart, Micros)| now.since(*at) > report_period;
        while self.parts.len() > MAX_CHANGES || self.parts.front().is_some_and(is_old) {
            if let Some((part, _)) = self.parts.pop_front() {
                self.from = part.number;
            }
        }
    }
}
