use {
    crate::{
        beacon::BeaconKey,
        codec::{decode_body, encode_body},
    },
    serde::{de::DeserializeOwned, Serialize},
    smol::{net::UdpSocket, Async},
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
    },
};

/// Size of the receive buffer; longer datagrams are truncated and then rejected.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Bytes of the keyed hash appended to a message.
const HASH_BYTES: usize = 16;

/// UDP socket that sends and receives encoded messages, authenticated if a key is set.
#[derive(Debug, Clone)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: Option<BeaconKey>,
    rejected: Arc<AtomicU64>,
}

impl DatagramSocket {
    /// Binds to an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(DatagramSocket {
            socket: UdpSocket::bind(address).await?,
            key: None,
            rejected: Arc::default(),
        })
    }

    /// Sets the key that authenticates messages as sent by a process of this deployment.
    #[must_use]
    pub fn with_key(
        self,
        key: Option<BeaconKey>,
    ) -> Self {
        DatagramSocket { key, ..self }
    }

    /// Bound address.
    ///
    /// # Errors
    /// If the system call fails.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Datagrams rejected because they lack a valid hash or cannot be decoded.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Sends a message; it may be lost.
    ///
    /// # Errors
    /// If the message is too long or the system refuses it.
    pub async fn send<T: Serialize>(
        &self,
        message: &T,
        to: SocketAddr,
    ) -> io::Result<()> {
        let body = encode_body(message).map_err(io::Error::other)?;
        self.send_body(body, to).await
    }

    /// Sends an already encoded message.
    ///
    /// # Errors
    /// If the message is too long or the system refuses it.
    pub async fn send_body(
        &self,
        mut body: Vec<u8>,
        to: SocketAddr,
    ) -> io::Result<()> {
        if let Some(key) = &self.key {
            let hash = key.hash(&body);
            body.extend_from_slice(&hash.as_bytes()[..HASH_BYTES]);
        }
        self.socket.send_to(&body, to).await.map(|_| ())
    }

    /// Waits for a message and skips rejected datagrams.
    ///
    /// # Errors
    /// If the socket fails.
    pub async fn receive<T: DeserializeOwned>(&self) -> io::Result<(T, SocketAddr)> {
        self.receive_into(&mut Vec::new()).await
    }

    /// Like [`Self::receive`] with a reused buffer, as many messages arrive each second.
    ///
    /// # Errors
    /// If the socket fails.
    pub async fn receive_into<T: DeserializeOwned>(
        &self,
        buffer: &mut Vec<u8>,
    ) -> io::Result<(T, SocketAddr)> {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            let (count, from) = self.socket.recv_from(buffer).await?;
            if let Some(message) = self.decode(&buffer[..count]) {
                return Ok((message, from));
            }
        }
    }

    /// Returns a message that has already arrived, if any.
    ///
    /// # Errors
    /// If the socket fails.
    pub fn try_receive<T: DeserializeOwned>(
        &self,
        buffer: &mut Vec<u8>,
    ) -> io::Result<Option<(T, SocketAddr)>> {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        // Bypasses the reactor, which would wake the process for each datagram.
        let socket: Arc<Async<std::net::UdpSocket>> = self.socket.clone().into();
        loop {
            let (count, from) = match socket.get_ref().recv_from(buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            };
            if let Some(message) = self.decode(&buffer[..count]) {
                return Ok(Some((message, from)));
            }
        }
    }

    /// Decodes a datagram; counts it as rejected if it is invalid.
    fn decode<T: DeserializeOwned>(
        &self,
        datagram: &[u8],
    ) -> Option<T> {
        let message = self
            .authenticated_body(datagram)
            .and_then(|body| decode_body(body).ok());
        if message.is_none() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
        }
        message
    }

    /// Body of a datagram, if its hash is valid or no key is set.
    fn authenticated_body<'a>(
        &self,
        datagram: &'a [u8],
    ) -> Option<&'a [u8]> {
        let Some(key) = &self.key else {
            return Some(datagram);
        };
        let length = datagram.len().checked_sub(HASH_BYTES)?;
        let (body, received_hash) = datagram.split_at(length);
        let hash = key.hash(body);
        // Compares in constant time: the time of a comparison must not help to guess the hash byte
        // by byte.
        let byte_pairs = hash.as_bytes()[..HASH_BYTES].iter().zip(received_hash);
        let difference = byte_pairs.fold(0, |sum, (one, other)| sum | (one ^ other));
        (difference == 0).then_some(body)
    }
}
