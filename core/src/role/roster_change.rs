/// Effect of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadChange {
    /// Nothing changed.
    None,
    /// The load changed.
    Load,
    /// The endpoint started or stopped refusing requests.
    Refusal,
}

/// Result of a liveness check.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LivenessReport {
    /// Endpoints to remove after a long time without a message.
    pub expired: Vec<String>,
    /// Endpoints that sent no message although their link is up.
    pub hung_links: Vec<String>,
    /// Whether the liveness or penalty of any endpoint changed, so that it must be published.
    pub changed: bool,
}

/// Effect of a beacon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// Nothing changed.
    None,
    /// Only the load changed.
    Load,
    /// The endpoint is new or has a new incarnation; a link must be opened.
    Joined,
    /// A property changed that decides about membership in pools.
    PoolMembership,
}
