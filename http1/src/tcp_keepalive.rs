use {
    rustix::net::sockopt,
    std::{io, net::TcpStream, time::Duration},
};

/// Limits after which the kernel closes a connection whose peer does not respond at all, not
/// even with TCP acknowledgements. A slow program on a reachable peer is unaffected: the
/// peer's kernel acknowledges for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpKeepalive {
    /// Idle time before the first keepalive probe and interval between probes. Whole
    /// seconds, at least one.
    pub probe_interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub probes: u32,
    /// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl TcpKeepalive {
    /// For connections to endpoints and the platform. Callers at the users' sites abandon a
    /// silent stream after 2.4 s, so a stream must be resumed elsewhere before that; the
    /// limits still tolerate the loss of three packets in a row.
    pub const OUTBOUND: TcpKeepalive = TcpKeepalive {
        probe_interval: Duration::from_secs(1),
        probes: 1,
        user_timeout: Duration::from_millis(1_500),
    };
    /// For connections from callers: nothing depends on detecting their loss soon, and a
    /// caller that stops reading for a while is not lost.
    pub const INBOUND: TcpKeepalive = TcpKeepalive {
        probe_interval: Duration::from_secs(5),
        probes: 3,
        user_timeout: Duration::from_secs(15),
    };

    /// Sets the socket options of a connection.
    ///
    /// # Errors
    /// If a socket option cannot be set.
    pub fn apply_to(
        &self,
        socket: &TcpStream,
    ) -> io::Result<()> {
        sockopt::set_socket_keepalive(socket, true)?;
        sockopt::set_tcp_keepidle(socket, self.probe_interval)?;
        sockopt::set_tcp_keepintvl(socket, self.probe_interval)?;
        sockopt::set_tcp_keepcnt(socket, self.probes)?;
        let user_timeout = self.user_timeout.as_millis() as u32;
        sockopt::set_tcp_user_timeout(socket, user_timeout)?;
        Ok(())
    }
}
