use std::time::Duration;

/// What a proxy does with its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Closes all connections, and new ones at once.
    Cut,
    /// Keeps connections open, but forwards nothing.
    Freeze,
    /// Forwards requests; closes the connection when a response arrives.
    DropResponses,
}
