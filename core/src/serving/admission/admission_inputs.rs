/// Inputs of the rules for urgency and fair shares at the latest decision, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInputs {
    /// Memory that the prompt had to leave to more urgent ones, in tokens.
    pub urgent_tokens: f64,
    /// Memory that the organisation may take, in tokens per second; infinite without a limit.
    pub share: f64,
    /// Memory that the organisation has recently taken, in tokens per second.
    pub used: f64,
    /// Whether counts of other fronts were used.
    pub has_reports: bool,
}

impl Default for AdmissionInputs {
    fn default() -> Self {
        AdmissionInputs {
            urgent_tokens: 0.0,
            share: f64::INFINITY,
            used: 0.0,
            has_reports: false,
        }
    }
}
