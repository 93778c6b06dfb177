/// Pool that an engine belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EnginePool {
    /// The service has no pools.
    #[default]
    Shared,
    /// Reserved for short prompts.
    Reserved,
    /// For long prompts, and for short ones at a cost.
    Open,
}

impl EnginePool {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EnginePool::Shared => "shared",
            EnginePool::Reserved => "reserved",
            EnginePool::Open => "open",
        }
    }
}
