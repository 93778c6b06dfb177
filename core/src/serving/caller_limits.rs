use crate::time::Micros;

/// What a caller may send, and how long it may take for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a whole head, from its first byte.
    pub header_timeout: Micros,
    /// Time for which an open connection may rest.
    pub idle_timeout: Micros,
}

impl Default for CallerLimits {
    /// Used until a configuration is known; the figures of the first sites.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Micros::from_secs(3),
            idle_timeout: Micros::from_secs(15),
        }
    }
}
