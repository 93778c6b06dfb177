/// Decision on a prompt, given the best engine for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The prompt is sent.
    Admitted,
    /// The engine would start it too late, or too many prompts wait there.
    TooLate,
    /// The engine has too little free memory for a prompt of this route.
    NoMemory,
    /// The prompt would take memory that more urgent prompts are expected to need.
    UrgentReserve,
    /// Memory is short, and the organisation has taken more than its fair share of it.
    OverShare,
}

impl AdmissionDecision {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AdmissionDecision::Admitted => "admitted",
            AdmissionDecision::TooLate => "too-late",
            AdmissionDecision::NoMemory => "no-memory",
            AdmissionDecision::UrgentReserve => "urgent-reserve",
            AdmissionDecision::OverShare => "over-share",
        }
    }
}
