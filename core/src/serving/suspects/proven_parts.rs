use {super::suspect_key::SuspectPart, crate::time::Micros, std::collections::HashMap};

/// Time for which a proof is remembered.
const PROOF_TTL: Micros = Micros::from_secs(20);
/// Maximum number of remembered parts, about 40 bytes each.
const MAX_PARTS: usize = 4_096;

/// Parts of prompts that endpoints have recently answered.
///
/// A part that many prompts share is in the runs of every endpoint that crashes, and is answered
/// elsewhere all the time.
#[derive(Debug, Clone, Default)]
pub struct ProvenParts {
    proven_at: HashMap<SuspectPart, Micros>,
}

impl ProvenParts {
    /// Records that an endpoint has answered a prompt with this part.
    pub fn record(
        &mut self,
        part: SuspectPart,
        now: Micros,
    ) {
        self.proven_at.insert(part, now);
        if self.proven_at.len() > MAX_PARTS {
            self.evict(now);
        }
    }

    /// Drops expired proofs and, if that is not enough, the older half of the others.
    fn evict(
        &mut self,
        now: Micros,
    ) {
        self.proven_at.retain(|_, at| now.since(*at) < PROOF_TTL);
        if self.proven_at.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<Micros> = self.proven_at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.proven_at.retain(|_, at| *at > median);
    }

    /// When an endpoint last answered a prompt with this part, if it did recently.
    pub fn proven_at(
        &self,
        part: SuspectPart,
        now: Micros,
    ) -> Option<Micros> {
        let at = self.proven_at.get(&part).copied()?;
        (now.since(at) < PROOF_TTL).then_some(at)
    }

    /// Number of remembered parts.
    pub fn len(&self) -> usize {
        self.proven_at.len()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.proven_at.is_empty()
    }
}
