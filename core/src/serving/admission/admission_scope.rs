use crate::time::Micros;

/// Where and when admission is requested, and for whom.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionScope {
    /// Hash of the name of the organisation that sent the prompt, if any.
    pub organisation: Option<u32>,
    /// Number of fronts that admit prompts.
    pub fronts: u32,
    /// Number of engines in the pool of the chosen one.
    pub engines: u32,
    /// Current time.
    pub now: Micros,
}

impl Default for AdmissionScope {
    fn default() -> Self {
        AdmissionScope {
            organisation: None,
            fronts: 1,
            engines: 1,
            now: Micros::ZERO,
        }
    }
}
