use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// A table of the platform store that a few fronts read on behalf of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ProvenTable {
    /// Configuration and published weights.
    Operator,
    /// Endpoints.
    Endpoints,
}

/// Result of a front's read: the content of a table was the newest at a time `age` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreProof {
    /// Table that was read.
    pub table: ProvenTable,
    /// Checksum of the content.
    #[serde(rename = "mark")]
    pub checksum: u32,
    /// Number of the front that read it.
    pub source: u32,
    /// Time since the read request was sent.
    pub age: Micros,
}

/// A proof as received by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReceivedProof {
    checksum: u32,
    source: u32,
    /// Process that reported the proof.
    reporter: u32,
    /// When the read request was sent, or earlier.
    sent_at: Micros,
}

/// Maximum number of proofs stored for one table: two for each reading front, and some more.
const MAX_PROOFS: usize = 16;
/// Maximum number of reporting processes per front whose proofs are stored.
const REPORTERS_PER_SOURCE: usize = 2;
/// Fronts whose proofs are forwarded.
const FORWARDED_SOURCES: usize = 2;

/// Proofs of one table: the latest for each pair of the front that read it and the process that
/// reported it.
#[derive(Debug, Clone, Default)]
pub struct ProofTracker {
    proofs: Vec<ReceivedProof>,
}

impl ProofTracker {
    /// Send time of the newest reported read, whatever its result.
    pub fn newest_sent_at(&self) -> Option<Micros> {
        self.proofs.iter().map(|proof| proof.sent_at).max()
    }

    /// Records a proof reported by `reporter`, whose read was sent at `sent_at` or earlier. Returns
    /// true if it is new.
    pub fn record(
        &mut self,
        proof: &StoreProof,
        reporter: u32,
        sent_at: Micros,
    ) -> bool {
        let is_same =
            |known: &ReceivedProof| known.source == proof.source && known.reporter == reporter;
        let known = self.proofs.iter().position(is_same);
        if known.is_some_and(|index| self.proofs[index].sent_at >= sent_at) {
            return false;
        }
        if let Some(index) = known {
            self.proofs.remove(index);
        }
        let later = |known: &ReceivedProof| known.sent_at >= sent_at;
        let index = self.proofs.iter().take_while(|known| later(known)).count();
        let received = ReceivedProof {
            checksum: proof.checksum,
            source: proof.source,
            reporter,
            sent_at,
        };
        self.proofs.insert(index, received);
        self.drop_excess(proof.source);
        self.proofs.truncate(MAX_PROOFS);
        true
    }

    /// Drops the oldest proof of a front if more than `REPORTERS_PER_SOURCE` processes reported its
    /// reads.
    fn drop_excess(
        &mut self,
        source: u32,
    ) {
        let mut of_source = self.proofs.iter().enumerate();
        let mut indices = of_source
            .by_ref()
            .filter(|(_, proof)| proof.source == source);
        if let Some((index, _)) = indices.nth(REPORTERS_PER_SOURCE) {
            self.proofs.remove(index);
        }
    }

    /// Send time of the newest read for which two fronts, reported by two processes, confirm that
    /// this content was the newest. A single one may be wrong, paused or out of date.
    pub fn confirmed_at(
        &self,
        checksum: u32,
    ) -> Option<Micros> {
        let mut with_checksum = self
            .proofs
            .iter()
            .filter(|proof| proof.checksum == checksum);
        let mut younger: Vec<&ReceivedProof> = Vec::new();
        with_checksum.find_map(|proof| {
            let differs = |other: &&ReceivedProof| {
                other.source != proof.source && other.reporter != proof.reporter
            };
            let is_confirmed = younger.iter().any(differs);
            younger.push(proof);
            is_confirmed.then_some(proof.sent_at)
        })
    }

    /// Checksum of different content that was read after `after`, if reported.
    pub fn newer_checksum(
        &self,
        checksum: u32,
        after: Micros,
    ) -> Option<u32> {
        self.checksum_between(checksum, after, Micros(u64::MAX))
    }

    /// Checksum of different content that was read after `after` and up to `until`, if reported.
    pub fn checksum_between(
        &self,
        checksum: u32,
        after: Micros,
        until: Micros,
    ) -> Option<u32> {
        let differs = |proof: &&ReceivedProof| {
            proof.checksum != checksum && proof.sent_at > after && proof.sent_at <= until
        };
        let other = self.proofs.iter().find(differs);
        other.map(|proof| proof.checksum)
    }

    /// Latest proofs of two fronts, to be forwarded, with their ages as of now.
    pub fn to_forward(
        &self,
        table: ProvenTable,
        max_age: Micros,
        now: Micros,
    ) -> Vec<StoreProof> {
        let mut forwarded: Vec<StoreProof> = Vec::new();
        for proof in &self.proofs {
            let age = now.since(proof.sent_at);
            let is_known = forwarded.iter().any(|other| other.source == proof.source);
            if age <= max_age && !is_known && forwarded.len() < FORWARDED_SOURCES {
                forwarded.push(StoreProof {
                    table,
                    checksum: proof.checksum,
                    source: proof.source,
                    age,
                });
            }
        }
        forwarded
    }
}
