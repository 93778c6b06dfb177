use {
    pitchhitch_core::time::Micros,
    pitchhitch_wire::engine_agent::{BundledDigest, DigestKey, RelayedDigest},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// Maximum number of digests that wait to be passed on; the oldest ones are dropped.
const MAX_WAITING: usize = 1_000;
/// Time after which the sequence number of an engine's digests is forgotten.
const SEEN_TTL: Micros = Micros::from_secs(10);
/// Approximate size up to which digests are combined into one datagram, in bytes. Longer datagrams
/// are split on the way, and are lost if any fragment is.
const BUNDLE_BYTES: usize = 1_300;
/// Approximate size of a digest's key and lengths in a datagram, in bytes.
const KEY_BYTES: usize = 24;

/// Digests of other engines that this agent passes on to the fronts of its failure domain.
#[derive(Debug, Default)]
pub(crate) struct RelayQueue {
    waiting: VecDeque<RelayedDigest>,
    /// Latest digest of each engine that was passed on, and when it arrived.
    seen: BTreeMap<SocketAddr, (DigestKey, Micros)>,
}

impl RelayQueue {
    /// Adds a digest, unless it or a later one was passed on before.
    pub fn push(
        &mut self,
        digest: RelayedDigest,
        now: Micros,
    ) {
        let key = digest.key;
        let is_known =
            |known: &DigestKey| known.incarnation == key.incarnation && known.number >= key.number;
        let seen = self.seen.get(&key.engine);
        if seen.is_some_and(|(known, at)| is_known(known) && now.since(*at) < SEEN_TTL) {
            return;
        }
        self.seen.insert(key.engine, (key, now));
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(digest);
    }

    /// Takes all waiting digests.
    pub fn take(
        &mut self,
        now: Micros,
    ) -> Vec<RelayedDigest> {
        self.seen.retain(|_, (_, at)| now.since(*at) < SEEN_TTL);
        self.waiting.drain(..).collect()
    }
}

/// Combines digests into datagrams for one front.
pub(crate) fn bundle_digests(
    front: SocketAddr,
    own: Option<BundledDigest>,
    relayed: &[RelayedDigest],
) -> Vec<Vec<BundledDigest>> {
    let others = relayed.iter().map(|digest| BundledDigest {
        key: digest.key,
        digest: digest.digest.clone(),
        echo: digest
            .echoes
            .iter()
            .find(|(echoed, _)| *echoed == front)
            .map(|(_, echo)| *echo),
    });
    let mut bundles: Vec<Vec<BundledDigest>> = Vec::new();
    let mut bytes = 0;
    for digest in own.into_iter().chain(others) {
        let size = digest.digest.len() + KEY_BYTES;
        if bundles.is_empty() || bytes + size > BUNDLE_BYTES {
            bundles.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(bundle) = bundles.last_mut() {
            bundle.push(digest);
        }
    }
    bundles
}
