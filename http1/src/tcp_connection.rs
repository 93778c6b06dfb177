use {
    super::{OpenConnection, TcpKeepalive},
    futures_lite::future::{poll_fn, yield_now},
    rustix::{
        io::Errno,
        net::{connect, socket_with, AddressFamily, SocketFlags, SocketType},
    },
    smol::{Async, Timer},
    std::{
        cell::Cell,
        io::{self, ErrorKind, Read, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
        task::{Context, Poll},
        time::Duration,
    },
};

/// Maximum number of bytes per read; enough for several events of a stream.
const MAX_READ_BYTES: usize = 16 << 10;

/// State of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Open, with nothing to read: it can carry another request.
    Reusable,
    /// The peer sent bytes without a request.
    UnexpectedData,
    /// Closed or broken.
    Closed,
}

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct TcpConnection {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    /// Whether a write has failed; its error is reported only once.
    is_broken: Cell<bool>,
    _open: OpenConnection,
}

impl TcpConnection {
    /// Wraps a connected socket and sets its options.
    ///
    /// # Errors
    /// If a socket option cannot be set.
    pub fn new(
        stream: Async<TcpStream>,
        keepalive: &TcpKeepalive,
    ) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        keepalive.apply_to(stream.get_ref())?;
        Ok(TcpConnection {
            stream,
            buffer: Vec::new(),
            is_broken: Cell::new(false),
            _open: OpenConnection::start(),
        })
    }

    /// Opens a connection that uses [`TcpKeepalive::OUTBOUND`].
    ///
    /// # Errors
    /// If the peer refuses the connection or does not accept it within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Self> {
        let stream = start_connect(address)?;
        let timed_out = async {
            Timer::after(timeout).await;
            Ok(())
        };
        futures_lite::future::or(stream.writable(), timed_out).await?;
        // The state of the socket counts: a process that stood still finds the timeout over before it
        // has read that the connection is open.
        if let Some(error) = stream.get_ref().take_error()? {
            return Err(error);
        }
        if stream.get_ref().peer_addr().is_err() {
            return Err(ErrorKind::TimedOut.into());
        }
        TcpConnection::new(stream, &TcpKeepalive::OUTBOUND)
    }

    /// The underlying socket, for its options.
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Address of the peer; unspecified if the connection has ended.
    pub fn peer_address(&self) -> IpAddr {
        let address = self.socket().peer_addr();
        address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip())
    }

    /// Makes the connection end with a reset when it is dropped. After an orderly close the peer cannot
    /// tell whether the response is still read; after a reset its next read or write fails.
    pub fn reset_on_drop(&self) {
        // If the option cannot be set, the connection is closed in order.
        let _ = rustix::net::sockopt::set_socket_linger(self.socket(), Some(Duration::ZERO));
    }

    /// Bytes read but not consumed yet.
    pub fn buffer(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes the first `count` bytes of [`TcpConnection::buffer`].
    pub fn consume(
        &mut self,
        count: usize,
    ) {
        if count >= self.buffer.len() {
            self.buffer.clear();
        } else {
            self.buffer.drain(..count);
        }
    }

    /// Releases the memory of the buffer if it is empty, for example after a large body.
    pub fn shrink_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Ready once the socket is readable; the waker of a pending poll stays registered until then.
    pub fn poll_readable(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.poll_readable(context)
    }

    /// Reads once without waiting: `None` if no data is available, 0 at the end of the stream.
    ///
    /// # Errors
    /// If the connection is broken.
    pub fn try_read(&mut self) -> io::Result<Option<usize>> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + MAX_READ_BYTES, 0);
        let outcome = self.stream.get_ref().read(&mut self.buffer[filled..]);
        let count = *outcome.as_ref().unwrap_or(&0);
        self.buffer.truncate(filled + count);
        match outcome {
            // After a failed write, a reset looks like an orderly close.
            Ok(0) if self.is_broken.get() => Err(ErrorKind::ConnectionReset.into()),
            Ok(count) => Ok(Some(count)),
            Err(error) if is_transient(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits for data and reads it into the buffer; returns 0 at the end of the stream.
    ///
    /// Other tasks of the thread run in between, also if the peer sends faster than this side reads.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        if let Some(count) = self.try_read()? {
            yield_now().await;
            return Ok(count);
        }
        self.read_when_readable().await
    }

    async fn read_when_readable(&mut self) -> io::Result<usize> {
        loop {
            poll_fn(|context| self.stream.poll_readable(context)).await?;
            if let Some(count) = self.try_read()? {
                return Ok(count);
            }
        }
    }

    /// Like [`TcpConnection::read_more`], for a connection that may stay idle for long: it holds no
    /// buffer while it waits.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn read_first(&mut self) -> io::Result<usize> {
        if let Some(count) = self.try_read()? {
            yield_now().await;
            return Ok(count);
        }
        self.shrink_buffer();
        self.read_when_readable().await
    }

    /// Writes as much as possible without waiting and returns the number of bytes written.
    ///
    /// # Errors
    /// If the connection is broken.
    pub fn try_write(
        &self,
        bytes: &[u8],
    ) -> io::Result<usize> {
        match self.stream.get_ref().write(bytes) {
            Ok(count) => Ok(count),
            Err(error) if is_transient(&error) => Ok(0),
            Err(error) => {
                self.is_broken.set(true);
                Err(error)
            }
        }
    }

    /// Ready once the socket is writable.
    pub fn poll_writable(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.poll_writable(context)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn write_all(
        &self,
        bytes: &[u8],
    ) -> io::Result<()> {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let count = self.try_write(remaining)?;
            remaining = &remaining[count..];
            if !remaining.is_empty() {
                poll_fn(|context| self.stream.poll_writable(context)).await?;
            }
        }
        Ok(())
    }

    /// Checks whether an idle connection can still be used.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedData;
        }
        match self.try_read() {
            Ok(None) => IdleState::Reusable,
            Ok(Some(0)) | Err(_) => IdleState::Closed,
            Ok(Some(_)) => IdleState::UnexpectedData,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Starts to open a connection; its socket is writable once it is open or has failed.
fn start_connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    match connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => Async::new_nonblocking(TcpStream::from(socket)),
        Err(error) => Err(error.into()),
    }
}
