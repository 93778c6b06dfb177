use {
    rustix::net::sockopt,
    std::{io, net::TcpStream, time::Duration},
};

/// How soon a connection counts as broken whose other side says nothing at all,
/// not even that bytes have come. A program that only takes its time is not
/// meant: its system answers for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpKeepalive {
    /// Rest after which the system asks whether the other side is there, and
    /// the pause between two such questions. Whole seconds, at least one.
    pub probe_interval: Duration,
    /// Questions without an answer after which the connection is broken.
    pub probes: u32,
    /// Time for which bytes may be under way unacknowledged.
    pub user_timeout: Duration,
}

impl TcpKeepalive {
    /// Towards endpoints and the platform. Callers on the users' sites give a
    /// silent stream up after 2.4 s, so a stream has to go on elsewhere before
    /// that; three packets in a row may still be lost on their way.
    pub const OUTBOUND: TcpKeepalive = TcpKeepalive {
        probe_interval: Duration::from_secs(1),
        probes: 1,
        user_timeout: Duration::from_millis(1_500),
    };
    /// Towards callers: nobody waits for their connections, and a caller that
    /// does not read for a while is no lost one.
    pub const INBOUND: TcpKeepalive = TcpKeepalive {
        probe_interval: Duration::from_secs(5),
        probes: 3,
        user_timeout: Duration::from_secs(15),
    };

    /// Has the system watch a connection.
    ///
    /// # Errors
    /// When the system refuses an option of the socket.
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
