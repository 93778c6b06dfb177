use crate::time::Micros;

/// Size and time limits for requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving the complete headers, from their first byte.
    pub header_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known; the first deployments use the same values.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Micros::from_secs(3),
            idle_timeout: Micros::from_secs(15),
        }
    }
}
