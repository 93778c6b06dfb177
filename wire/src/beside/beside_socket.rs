use {
    crate::codec::{decode_body, encode_body},
    serde::{de::DeserializeOwned, Serialize},
    smol::net::UdpSocket,
    std::{io, net::SocketAddr},
};

/// Longest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 60 << 10;

/// Sends and takes datagrams of one kind each way.
#[derive(Debug, Clone)]
pub struct BesideSocket {
    socket: UdpSocket,
}

impl BesideSocket {
    /// Binds to an address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(BesideSocket {
            socket: UdpSocket::bind(address).await?,
        })
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
        self.socket.send_to(&body, to).await.map(|_| ())
    }

    /// Waits for a message; datagrams that are none are passed over.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn receive<T: DeserializeOwned>(&self) -> io::Result<(T, SocketAddr)> {
        let mut bytes = vec![0; DATAGRAM_LIMIT];
        loop {
            let (count, from) = self.socket.recv_from(&mut bytes).await?;
            if let Ok(message) = decode_body(&bytes[..count]) {
                return Ok((message, from));
            }
        }
    }
}
