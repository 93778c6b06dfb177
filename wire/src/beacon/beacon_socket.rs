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

/// Why no beacon came out of a datagram.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The socket failed.
    #[error("beacon socket: {0}")]
    Io(#[from] io::Error),
    /// The datagram is not from this deployment.
    #[error("from {from}: {error}")]
    Refused {
        /// Where it came from.
        from: SocketAddr,
        /// What is wrong with it.
        error: BeaconError,
    },
    /// The beacon was seen before.
    #[error("from {from}: beacon of {sender} was seen before")]
    Replayed {
        /// Where it came from.
        from: SocketAddr,
        /// Who is said to have sent it.
        sender: String,
    },
}

/// Sends and takes beacons.
#[derive(Debug)]
pub struct BeaconSocket {
    socket: UdpSocket,
    key: BeaconKey,
    counter: AtomicU64,
    replay_guard: Mutex<ReplayGuard>,
}

impl BeaconSocket {
    /// Binds to an address.
    ///
    /// # Errors
    /// When the address cannot be bound.
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

    /// The bound address.
    ///
    /// # Errors
    /// When the system does not tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a beacon to each target; gives the bytes sent. A target that
    /// cannot be reached is passed over: the next beacon comes soon.
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

    /// Takes the next beacon.
    ///
    /// # Errors
    /// [`ReceiveError`] for a datagram that must be passed over.
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
