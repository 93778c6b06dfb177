use std::time::Duration;

/// What a proxy does with what passes through it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Passes everything on after a while.
    Delay(Duration),
    /// Closes every connection, and each new one at once.
    Cut,
    /// Keeps connections open, but passes nothing on.
    Freeze,
    /// Passes questions on; closes the connection when an answer comes.
    LoseResponses,
}
