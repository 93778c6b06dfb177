use {
    super::{lock_forks, unique_address},
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
    ///
    /// # Errors
    /// When there is no such address.
    pub fn for_deployment() -> io::Result<Self> {
        Ok(FreePorts {
            ip: unique_address()?,
            listeners: Vec::new(),
            sockets: Vec::new(),
            _fork_guard: lock_forks(),
        })
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
