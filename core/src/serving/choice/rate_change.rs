/// An engine that has become slow or is no longer slow.
#[derive(Debug, Clone, PartialEq)]
pub struct RateChange {
    /// Id of the engine.
    pub id: String,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Its rate.
    pub rate: f64,
    /// Its reported time between two events of a stream, in microseconds; 0 if unknown.
    pub pace_us: u32,
    /// The median of its service, in microseconds; 0 if unknown.
    pub median_us: u32,
}
