use {
    rustix::net::sockopt,
    std::{io, net::TcpStream, time::Duration},
};

/// How soon a connection counts as broken whose other side says nothing at all,
/// not even that bytes have come. A program that only takes its time is not
/// meant: its system answers for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimit {
    /// Rest after which the system asks whether the other side is there, and
    /// the pause between two such questions. Whole seconds, at least one.
    pub probe_pause: Duration,
    /// Questions without an answer after which the connection is broken.
    pub probes: u32,
    /// Time for which bytes may be under way unacknowledged.
    pub unacknowledged: Duration,
}

impl SilenceLimit {
    /// Towards endpoints and the platform. Callers on the users' sites give a
    /// silent stream up after 2.4 s, so a stream has to go on elsewhere before
    /// that; three packets in a row may still be lost on their way.
    pub const OUTWARD: SilenceLimit = SilenceLimit {
        probe_pause: Duration::from_secs(1),
        probes: 1,
        unacknowledged: Duration::from_millis(1_500),
    };
    /// Towards callers: nobody waits for their connections, and a caller that
    /// does not read for a while is no lost one.
    pub const INWARD: SilenceLimit = SilenceLimit {
        probe_pause: Duration::from_secs(5),
        probes: 3,
        unacknowledged: Duration::from_secs(15),
    };

    /// Has the system watch a connection.
    ///
    /// # Errors
    /// When the system refuses an option of the socket.
    pub fn watch(
        &self,
        socket: &TcpStream,
    ) -> io::Result<()> {
        sockopt::set_socket_keepalive(socket, true)?;
        sockopt::set_tcp_keepidle(socket, self.probe_pause)?;
        sockopt::set_tcp_keepintvl(socket, self.probe_pause)?;
        sockopt::set_tcp_keepcnt(socket, self.probes)?;
        let unacknowledged = self.unacknowledged.as_millis() as u32;
        sockopt::set_tcp_user_timeout(socket, unacknowledged)?;
        Ok(())
    }
}
