use {
    super::lock_forks,
    std::{
        io,
        net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
        sync::MutexGuard,
    },
};

/// Ports of one address that the system names free.
///
/// Each stays bound as long as this lives: the system names a port that was let
/// go again, so two processes would be told the same one. No child starts meanwhile,
/// as it would hold the ports for a moment longer.
#[derive(Debug)]
pub struct FreePorts {
    ip: IpAddr,
    listeners: Vec<TcpListener>,
    sockets: Vec<UdpSocket>,
    // Let go last, as fields are dropped in this order.
    _fork_guard: MutexGuard<'static, ()>,
}

impl FreePorts {
    /// Free ports of an address that no other deployment of this machine uses: a
    /// port must still be free when the process that is told it starts.
    pub fn for_deployment(deployment: u32) -> Self {
        let pid = std::process::id();
        let byte = |number: u32| (number % 250) as u8 + 1;
        FreePorts {
            ip: IpAddr::from([127, byte(pid), byte(pid / 250), byte(deployment)]),
            listeners: Vec::new(),
            sockets: Vec::new(),
            _fork_guard: lock_forks(),
        }
    }

    /// A port for TCP.
    ///
    /// # Errors
    /// When the system has none.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;
        self.listeners.push(listener);
        Ok(address)
    }

    /// A port for UDP.
    ///
    /// # Errors
    /// When the system has none.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }
}
