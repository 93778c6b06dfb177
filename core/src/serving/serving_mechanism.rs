/// A mechanism of the serving decisions that can be left out, to learn what it is
/// worth. For experiments only: with none left out each decision is as ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingMechanism {
    /// Prompts are refused for load at all.
    Admission,
    /// Prompts that would begin too late are refused.
    LateRule,
    /// Prompts are refused where too many wait.
    WaitingRule,
    /// Large prompts are refused where memory is short.
    MemoryRule,
    /// What an engine keeps of a prompt lessens the memory that must be free.
    KeptMemory,
    /// Memory is kept back where most large prompts find none.
    KeptBack,
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
    /// Endpoints that keep failing are passed over for a while.
    OutlierGuard,
    /// Endpoints whose reports have just stopped are passed over.
    Suspicion,
}

impl ServingMechanism {
    /// All mechanisms.
    pub const ALL: [ServingMechanism; 15] = [
        ServingMechanism::Admission,
        ServingMechanism::LateRule,
        ServingMechanism::WaitingRule,
        ServingMechanism::MemoryRule,
        ServingMechanism::KeptMemory,
        ServingMechanism::KeptBack,
        ServingMechanism::ReturnOrder,
        ServingMechanism::ComeBack,
        ServingMechanism::LearnedPace,
        ServingMechanism::Affinity,
        ServingMechanism::Home,
        ServingMechanism::Fetches,
        ServingMechanism::Stores,
        ServingMechanism::OutlierGuard,
        ServingMechanism::Suspicion,
    ];

    /// Name, as it is given to leave the mechanism out.
    pub fn name(self) -> &'static str {
        match self {
            ServingMechanism::Admission => "admission",
            ServingMechanism::LateRule => "late-rule",
            ServingMechanism::WaitingRule => "waiting-rule",
            ServingMechanism::MemoryRule => "memory-rule",
            ServingMechanism::KeptMemory => "kept-memory",
            ServingMechanism::KeptBack => "kept-back",
            ServingMechanism::ReturnOrder => "return-order",
            ServingMechanism::ComeBack => "come-back",
            ServingMechanism::LearnedPace => "learned-pace",
            ServingMechanism::Affinity => "affinity",
            ServingMechanism::Home => "home",
            ServingMechanism::Fetches => "fetches",
            ServingMechanism::Stores => "stores",
            ServingMechanism::OutlierGuard => "outlier-guard",
            ServingMechanism::Suspicion => "suspicion",
        }
    }

    /// All names, as one text.
    pub fn names() -> String {
        Self::ALL.map(ServingMechanism::name).join(", ")
    }

    /// The mechanism of a name.
    ///
    /// # Errors
    /// Says which names there are, where none is that one.
    pub fn from_name(name: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|known| known.name() == name);
        found.ok_or_else(|| format!("{name}: name one of {}", Self::names()))
    }
}
