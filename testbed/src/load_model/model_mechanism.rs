use anyhow::Context;

/// A mechanism of the product that a run of the model can do without. For
/// experiments only: nothing of the product reads these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelMechanism {
    /// Prompts are refused at all.
    Admission,
    /// Prompts that would begin too late are refused.
    LateRule,
    /// Prompts are refused where too many wait.
    WaitingRule,
    /// Large prompts are refused where memory is short.
    MemoryRule,
    /// What an engine keeps of a prompt lessens the memory that must be free.
    KeptMemory,
    /// Callers that were refused before go first.
    ReturnOrder,
    /// Refused callers are told when to come back; otherwise after a fixed time.
    ComeBack,
    /// The pace of engines is learned; otherwise the start value stays.
    LearnedPace,
    /// What engines keep or can fetch counts when one is chosen.
    Affinity,
    /// Shared parts have a home, and reading them has a price beyond its time.
    Home,
    /// Parts are fetched from engines and stores.
    Fetches,
    /// Parts are saved to stores.
    Stores,
}

impl ModelMechanism {
    /// All mechanisms.
    pub const ALL: [ModelMechanism; 12] = [
        ModelMechanism::Admission,
        ModelMechanism::LateRule,
        ModelMechanism::WaitingRule,
        ModelMechanism::MemoryRule,
        ModelMechanism::KeptMemory,
        ModelMechanism::ReturnOrder,
        ModelMechanism::ComeBack,
        ModelMechanism::LearnedPace,
        ModelMechanism::Affinity,
        ModelMechanism::Home,
        ModelMechanism::Fetches,
        ModelMechanism::Stores,
    ];

    /// Name, as it is given to leave the mechanism out.
    pub fn name(self) -> &'static str {
        match self {
            ModelMechanism::Admission => "admission",
            ModelMechanism::LateRule => "late-rule",
            ModelMechanism::WaitingRule => "waiting-rule",
            ModelMechanism::MemoryRule => "memory-rule",
            ModelMechanism::KeptMemory => "kept-memory",
            ModelMechanism::ReturnOrder => "return-order",
            ModelMechanism::ComeBack => "come-back",
            ModelMechanism::LearnedPace => "learned-pace",
            ModelMechanism::Affinity => "affinity",
            ModelMechanism::Home => "home",
            ModelMechanism::Fetches => "fetches",
            ModelMechanism::Stores => "stores",
        }
    }

    /// The mechanism of a name.
    ///
    /// # Errors
    /// Fails where none has that name.
    pub fn named(name: &str) -> anyhow::Result<Self> {
        let names = Self::ALL.map(ModelMechanism::name).join(", ");
        let found = Self::ALL.into_iter().find(|known| known.name() == name);
        found.with_context(|| format!("{name}: name one of {names}"))
    }
}
