/// What a report of load changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadChange {
    /// Nothing.
    None,
    /// The load.
    Load,
    /// The endpoint began or ceased to refuse work.
    Refusal,
}

/// Endpoints about which something must be done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LivenessReport {
    /// Silent for good.
    pub expired: Vec<String>,
    /// Silent although their link is up.
    pub hung_links: Vec<String>,
    /// Whether any endpoint's load must be published anew.
    pub changed: bool,
}

/// What a beacon changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// Nothing.
    None,
    /// Nothing but load.
    Load,
    /// The endpoint is new or in a new life; it must be linked.
    Joined,
    /// Something that pools depend on.
    PoolMembership,
}
