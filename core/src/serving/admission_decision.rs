/// What is decided of a prompt, if the best engine for it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is sent.
    Admitted,
    /// The engine would begin with it too late, or too many wait there already.
    TooLate,
    /// Memory for prompts of its kind is not free.
    NoMemory,
}

impl AdmissionDecision {
    /// Word for the logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AdmissionDecision::Admitted => "admitted",
            AdmissionDecision::TooLate => "too-late",
            AdmissionDecision::NoMemory => "no-memory",
        }
    }
}
