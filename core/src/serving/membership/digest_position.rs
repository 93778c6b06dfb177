use crate::time::Micros;

/// Position of a digest in the sequence of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestPosition {
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the digest within that incarnation.
    pub number: u64,
    /// Digests with part changes so far, including this one.
    pub changes: u64,
    /// When it arrived.
    pub at: Micros,
}

/// Whether a digest continues the sequence of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOrder {
    /// No part change is missing before it: it is the next one, or those that are missing carried
    /// only load.
    Next,
    /// Part changes before it are missing.
    Gap,
    /// A later digest has arrived before it.
    Overtaken,
}
