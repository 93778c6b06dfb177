use crate::time::Micros;

/// What a caller may send, and how long it may take for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time for a whole head, from its first byte.
    pub head_time: Micros,
    /// Time for which an open connection may rest.
    pub idle_time: Micros,
}

impl Default for CallerLimits {
    /// Used until a configuration is known; the figures of the first sites.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Micros::from_secs(3),
            idle_time: Micros::from_secs(15),
        }
    }
}
