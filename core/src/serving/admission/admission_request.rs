use {super::AdmissionScope, crate::time::Micros};

/// A prompt for which admission is requested.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target time from arrival to the first token of the answer.
    pub target_latency: Micros,
    /// Time until the caller's deadline.
    pub time_left: Micros,
    /// Where and when admission is requested, and for whom.
    pub scope: AdmissionScope,
}
