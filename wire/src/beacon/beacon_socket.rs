use {
    super::{BeaconError, BeaconKey, NumberedBeacon, MAX_BEACON_BYTES},
    pitchhitch_core::membership::{Beacon, ReplayGuard},
    smol::net::UdpSocket,
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Mutex, PoisonError,
        },
    },
    thiserror::Error,
};

/// Why no beacon was received.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// I/O error of the socket.
    #[error("beacon socket: {0}")]
    Io(#[from] io::Error),
    /// The datagram is not an authentic beacon of this deployment.
    #[error("from {from}: {error}")]
    Refused {
        /// Source address.
        from: SocketAddr,
        /// Reason.
        error: BeaconError,
    },
    /// The replay guard rejected its sequence number.
    #[error("from {from}: beacon of {sender} is replayed or out of order")]
    Replayed {
        /// Source address.
        from: SocketAddr,
        /// Sender that the beacon names.
        sender: String,
    },
}

/// UDP socket that sends and receives beacons.
#[derive(Debug)]
pub struct BeaconSocket {
    socket: UdpSocket,
    key: BeaconKey,
    counter: AtomicU64,
    replay_guard: Mutex<ReplayGuard>,
}

impl BeaconSocket {
    /// Binds the socket to an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        key: BeaconKey,
    ) -> io::Result<Self> {
        Ok(BeaconSocket {
            socket: UdpSocket::bind(address).await?,
            key,
            counter: AtomicU64::new(0),
            replay_guard: Mutex::new(ReplayGuard::default()),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// If the operating system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a beacon to each target and returns the total of bytes sent. Send errors are
    /// ignored, because the next beacon follows soon.
    pub async fn send(
        &self,
        beacon: Beacon,
        targets: &[SocketAddr],
    ) -> usize {
        let numbered = NumberedBeacon {
            counter: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
            beacon,
        };
        let datagram = match numbered.seal(&self.key) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!("event=beacon-not-sent error=\"{error}\"");
                return 0;
            }
        };
        let mut sent = 0;
        for target in targets {
            if self.socket.send_to(&datagram, target).await.is_ok() {
                sent += datagram.len();
            }
        }
        sent
    }

    /// Receives the next beacon.
    ///
    /// # Errors
    /// [`ReceiveError`] if the socket failed or the datagram must be ignored.
    pub async fn receive(&self) -> Result<Beacon, ReceiveError> {
        let mut datagram = [0; MAX_BEACON_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut datagram).await?;
        let result = NumberedBeacon::open(&datagram[..length], &self.key);
        let numbered = result.map_err(|error| ReceiveError::Refused { from, error })?;
        let mut guard = self
            .replay_guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !guard.accept(numbered.sender(), numbered.sequence()) {
            return Err(ReceiveError::Replayed {
                from,
                sender: numbered.sender().to_string(),
            });
        }
        Ok(numbered.beacon)
    }
}
