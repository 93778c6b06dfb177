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

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Bytes of the keyed hash behind a message.
const HASH_BYTES: usize = 16;

/// Sends and takes datagrams of one kind each way.
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
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(DatagramSocket {
            socket: UdpSocket::bind(address).await?,
            key: None,
            rejected: Arc::default(),
        })
    }

    /// The same, where a key proves messages to be of one of ours.
    #[must_use]
    pub fn with_key(
        self,
        key: Option<BeaconKey>,
    ) -> Self {
        DatagramSocket { key, ..self }
    }

    /// Where it is bound.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Datagrams that were dropped: of strangers, or cut.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Sends a message; it may be lost.
    ///
    /// # Errors
    /// When the message is too long or the system refuses it.
    pub async fn send<T: Serialize>(
        &self,
        message: &T,
        to: SocketAddr,
    ) -> io::Result<()> {
        let body = encode_body(message).map_err(io::Error::other)?;
        self.send_body(body, to).await
    }

    /// Sends a message that is written already.
    ///
    /// # Errors
    /// When the message is too long or the system refuses it.
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

    /// Waits for a message; datagrams that are none are passed over.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn receive<T: DeserializeOwned>(&self) -> io::Result<(T, SocketAddr)> {
        self.receive_into(&mut Vec::new()).await
    }

    /// The same with room that is used again, as many come each second.
    ///
    /// # Errors
    /// When the socket fails.
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

    /// The message that has come already, if any.
    ///
    /// # Errors
    /// When the socket fails.
    pub fn try_receive<T: DeserializeOwned>(
        &self,
        buffer: &mut Vec<u8>,
    ) -> io::Result<Option<(T, SocketAddr)>> {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        // Asked without the reactor, which would wake the process for each one that comes.
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

    /// Reads a datagram; one that is none of ours is counted.
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

    /// The message in a datagram, where it is one of ours.
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
        // Whoever guesses byte by byte has no more than the time of one datagram to go by.
        let byte_pairs = hash.as_bytes()[..HASH_BYTES].iter().zip(received_hash);
        let difference = byte_pairs.fold(0, |sum, (one, other)| sum | (one ^ other));
        (difference == 0).then_some(body)
    }
}
