/// Group of endpoints that a roll-out compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionArm {
    /// Endpoints that the roll-out replaces.
    Baseline,
    /// Endpoints of the version that is rolled out.
    Target,
}

impl VersionArm {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            VersionArm::Baseline => "baseline",
            VersionArm::Target => "target",
        }
    }
}
