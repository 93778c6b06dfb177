use crate::time::Micros;

/// A prompt that asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Route.
    pub route: &'a str,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which it should begin, from when it came.
    pub target_latency: Micros,
    /// Time that its caller still has.
    pub time_left: Micros,
}
