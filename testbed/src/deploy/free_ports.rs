use {
    super::lock_forks,
    std::{
        io,
        net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
        sync::MutexGuard,
    },
};

/// Free ports of one IP address, chosen by the operating system.
///
/// Each port stays bound until this is dropped, since the system could otherwise
/// choose a port again and two processes would get the same one. No child process
/// starts in that time, as it would hold the ports open until its exec.
#[derive(Debug)]
pub struct FreePorts {
    ip: IpAddr,
    listeners: Vec<TcpListener>,
    sockets: Vec<UdpSocket>,
    // Must be the last field: fields are dropped in this order.
    _fork_guard: MutexGuard<'static, ()>,
}

impl FreePorts {
    /// Free ports of a loopback address that no other deployment on this machine
    /// uses, so that a port is still free when the process that gets it starts.
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

    /// Allocates a TCP port.
    ///
    /// # Errors
    /// When the system has no free port.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;
        self.listeners.push(listener);
        Ok(address)
    }

    /// Allocates a UDP port.
    ///
    /// # Errors
    /// When the system has no free port.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }
}
