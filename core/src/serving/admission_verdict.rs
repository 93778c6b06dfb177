/// What is decided of a prompt, if the best engine for it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is sent.
    Admitted,
    /// The engine would begin with it too late, or too many wait there already.
    TooLate,
    /// Memory for prompts of its kind is not free.
    NoMemory,
}

impl AdmissionVerdict {
    /// Word for the logs.
    pub fn word(self) -> &'static str {
        match self {
            AdmissionVerdict::Admitted => "admitted",
            AdmissionVerdict::TooLate => "too-late",
            AdmissionVerdict::NoMemory => "no-memory",
        }
    }
}
