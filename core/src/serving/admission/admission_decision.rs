/// Decision on a prompt, given the best engine for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The prompt is sent.
    Admitted,
    /// The engine would start it too late, or too many prompts wait there.
    TooLate,
    /// The engine has too little free memory for a prompt of this route.
    NoMemory,
}

impl AdmissionDecision {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AdmissionDecision::Admitted => "admitted",
            AdmissionDecision::TooLate => "too-late",
            AdmissionDecision::NoMemory => "no-memory",
        }
    }
}
