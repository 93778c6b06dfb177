/// A mechanism of the serving decisions that can be disabled to measure its effect, for experiments
/// only. Names of the variants follow the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingMechanism {
    /// Prompts are refused under load.
    Admission,
    /// Prompts that would start too late are refused.
    LateRule,
    /// Prompts are refused where too many wait.
    WaitingRule,
    /// Large prompts are refused where free memory is short.
    MemoryRule,
    /// Cached tokens of a prompt reduce the free memory that it needs.
    KeptMemory,
    /// Memory is reserved where most large prompts find too little.
    KeptBack,
    /// Callers that were refused before take precedence.
    ReturnOrder,
    /// The time after which refused callers should retry is computed; otherwise it is fixed.
    ComeBack,
    /// The prefill speed of engines is learned; otherwise the initial value is used.
    LearnedPace,
    /// Parts that engines have cached or can fetch count in the choice of an engine.
    Affinity,
    /// Shared parts have a home engine, and prefilling them costs more than the time it takes.
    Home,
    /// Parts are fetched from engines and stores.
    Fetches,
    /// Parts are saved to stores.
    Stores,
    /// Endpoints that keep failing are avoided for a while.
    OutlierGuard,
    /// Endpoints whose reports have just stopped are avoided.
    Suspicion,
    /// Some engines are reserved for short prompts.
    PromptPools,
    /// Less urgent prompts leave memory to more urgent ones while memory is short.
    UrgentReserve,
    /// Organisations above their fair share are refused first while memory is short.
    FairShares,
    /// Estimates are scaled by the engines' measured speeds.
    EngineRates,
    /// Running requests are moved to other engines.
    Moves,
    /// Silent endpoints are probed, and requests leave those that do not respond.
    ContactProbes,
}

impl ServingMechanism {
    /// All mechanisms.
    pub const ALL: [ServingMechanism; 21] = [
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
        ServingMechanism::PromptPools,
        ServingMechanism::UrgentReserve,
        ServingMechanism::FairShares,
        ServingMechanism::EngineRates,
        ServingMechanism::Moves,
        ServingMechanism::ContactProbes,
    ];

    /// Name in the settings.
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
            ServingMechanism::PromptPools => "prompt-pools",
            ServingMechanism::UrgentReserve => "urgent-reserve",
            ServingMechanism::FairShares => "fair-shares",
            ServingMechanism::EngineRates => "engine-rates",
            ServingMechanism::Moves => "moves",
            ServingMechanism::ContactProbes => "contact-probes",
        }
    }

    /// All names, separated by commas.
    pub fn names() -> String {
        Self::ALL.map(ServingMechanism::name).join(", ")
    }

    /// Finds a mechanism by name.
    ///
    /// # Errors
    /// Lists the known names if there is no such mechanism.
    pub fn from_name(name: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|known| known.name() == name);
        found.ok_or_else(|| {
            format!(
                "{name}: unknown mechanism, expected one of {}",
                Self::names()
            )
        })
    }
}
