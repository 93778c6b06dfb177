/// Candidate of a rendezvous selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RendezvousCandidate<T> {
    /// Id of the candidate; input of the hash.
    pub id: String,
    /// Failure domain of the candidate.
    pub failure_domain: String,
    /// Payload for the caller, such as an address.
    pub value: T,
}

/// Selects up to `size` candidates for `subject` by rendezvous hashing.
///
/// Candidates in `failure_domain` are preferred; others fill the remaining positions.
/// If a candidate joins or leaves, only the subjects that it gains or loses are
/// reassigned.
pub fn rendezvous_select<'a, T>(
    subject: &str,
    failure_domain: &str,
    candidates: &'a [RendezvousCandidate<T>],
    size: usize,
) -> Vec<&'a RendezvousCandidate<T>> {
    let mut ranked: Vec<RankedCandidate<'a, T>> = candidates
        .iter()
        .map(|candidate| RankedCandidate {
            in_other_domain: candidate.failure_domain != failure_domain,
            weight: rendezvous_weight(subject, &candidate.id),
            candidate,
        })
        .collect();
    ranked.sort_by(|a, b| {
        let by_domain = a.in_other_domain.cmp(&b.in_other_domain);
        let by_weight = b.weight.cmp(&a.weight);
        by_domain
            .then(by_weight)
            .then(a.candidate.id.cmp(&b.candidate.id))
    });
    ranked.into_iter().take(size).map(|r| r.candidate).collect()
}

struct RankedCandidate<'a, T> {
    in_other_domain: bool,
    weight: u64,
    candidate: &'a RendezvousCandidate<T>,
}

/// Rendezvous weight of a subject and a candidate.
pub fn rendezvous_weight(
    subject: &str,
    candidate: &str,
) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject.as_bytes());
    hasher.update(candidate.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}
