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
    pub mark: u32,
    /// Number of the front that read it.
    pub source: u32,
    /// Time since the read request was sent.
    pub age: Micros,
}

/// A proof as received by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardProof {
    mark: u32,
    source: u32,
    /// Process that reported the proof.
    teller: u32,
    /// When the read request was sent, or earlier.
    sent_at: Micros,
}

/// Maximum number of proofs kept for one table: two for each reading front, and some more.
const PROOFS_LIMIT: usize = 16;
/// Reporting processes kept for one front's proofs.
const TELLERS_KEPT: usize = 2;
/// Fronts whose proofs are forwarded.
const TOLD_PROOFS: usize = 2;

/// Proofs of one table: the latest for each pair of the front that read it and the process that
/// reported it.
#[derive(Debug, Clone, Default)]
pub struct ProofBook {
    proofs: Vec<HeardProof>,
}

impl ProofBook {
    /// Send time of the newest reported read, whatever its result.
    pub fn newest(&self) -> Option<Micros> {
        self.proofs.iter().map(|proof| proof.sent_at).max()
    }

    /// Records a proof reported by `teller`, whose read was sent at `sent_at` or earlier. Returns
    /// true if it is new.
    pub fn hear(
        &mut self,
        proof: &StoreProof,
        teller: u32,
        sent_at: Micros,
    ) -> bool {
        let is_same = |known: &HeardProof| known.source == proof.source && known.teller == teller;
        let known = self.proofs.iter().position(is_same);
        if known.is_some_and(|place| self.proofs[place].sent_at >= sent_at) {
            return false;
        }
        if let Some(place) = known {
            self.proofs.remove(place);
        }
        let later = |known: &HeardProof| known.sent_at >= sent_at;
        let place = self.proofs.iter().take_while(|known| later(known)).count();
        let heard = HeardProof {
            mark: proof.mark,
            source: proof.source,
            teller,
            sent_at,
        };
        self.proofs.insert(place, heard);
        self.drop_third(proof.source);
        self.proofs.truncate(PROOFS_LIMIT);
        true
    }

    /// Keeps the latest proofs of two reporting processes for each front.
    fn drop_third(
        &mut self,
        source: u32,
    ) {
        let mut of_source = self.proofs.iter().enumerate();
        let mut places = of_source
            .by_ref()
            .filter(|(_, proof)| proof.source == source);
        if let Some((place, _)) = places.nth(TELLERS_KEPT) {
            self.proofs.remove(place);
        }
    }

    /// Send time of the newest read for which two fronts, reported by two processes, confirm that
    /// this content was the newest. A single one may be wrong, paused or out of date.
    pub fn witnessed(
        &self,
        mark: u32,
    ) -> Option<Micros> {
        let mut with_mark = self.proofs.iter().filter(|proof| proof.mark == mark);
        let mut younger: Vec<&HeardProof> = Vec::new();
        with_mark.find_map(|proof| {
            let differs =
                |other: &&HeardProof| other.source != proof.source && other.teller != proof.teller;
            let is_second = younger.iter().any(differs);
            younger.push(proof);
            is_second.then_some(proof.sent_at)
        })
    }

    /// Checksum of different content that was read later than `than`, if reported.
    pub fn other_since(
        &self,
        mark: u32,
        than: Micros,
    ) -> Option<u32> {
        let mut others = self.proofs.iter();
        let other = others.find(|proof| proof.mark != mark && proof.sent_at > than);
        other.map(|proof| proof.mark)
    }

    /// Latest proofs of two fronts, to be forwarded, with their ages as of now.
    pub fn told(
        &self,
        table: ProvenTable,
        longest: Micros,
        now: Micros,
    ) -> Vec<StoreProof> {
        let mut told: Vec<StoreProof> = Vec::new();
        for proof in &self.proofs {
            let age = now.since(proof.sent_at);
            let is_known = told.iter().any(|other| other.source == proof.source);
            if age <= longest && !is_known && told.len() < TOLD_PROOFS {
                told.push(StoreProof {
                    table,
                    mark: proof.mark,
                    source: proof.source,
                    age,
                });
            }
        }
        told
    }
}
