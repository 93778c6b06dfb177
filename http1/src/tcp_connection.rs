use {
    super::TcpKeepalive,
    futures_lite::future::poll_fn,
    smol::{Async, Timer},
    std::{
        io::{self, ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        task::{Context, Poll},
        time::Duration,
    },
};

/// Bytes that one read takes at most; several events of a stream fit in.
const MAX_READ_BYTES: usize = 16 << 10;

/// What an unused connection has to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing: it can be used.
    Reusable,
    /// Bytes that nobody asked for.
    UnexpectedData,
    /// It is closed or broken.
    Closed,
}

/// A TCP connection with what was read from it and not used yet.
#[derive(Debug)]
pub struct TcpConnection {
    io: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl TcpConnection {
    /// Takes a connection over.
    ///
    /// # Errors
    /// When the system refuses an option of the socket.
    pub fn new(
        io: Async<TcpStream>,
        keepalive: &TcpKeepalive,
    ) -> io::Result<Self> {
        io.get_ref().set_nodelay(true)?;
        keepalive.apply_to(io.get_ref())?;
        Ok(TcpConnection {
            io,
            buffer: Vec::new(),
        })
    }

    /// Opens a connection; it is watched by [`TcpKeepalive::OUTBOUND`].
    ///
    /// # Errors
    /// When the other side refuses, or does not answer within `limit`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Self> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(ErrorKind::TimedOut.into())
        };
        let io = futures_lite::future::or(Async::<TcpStream>::connect(address), timed_out).await?;
        TcpConnection::new(io, &TcpKeepalive::OUTBOUND)
    }

    /// The socket itself, for options.
    pub fn socket(&self) -> &TcpStream {
        self.io.get_ref()
    }

    /// Bytes read and not used yet.
    pub fn buffer(&self) -> &[u8] {
        &self.buffer
    }

    /// Drops the first bytes of [`TcpConnection::buffer`].
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

    /// Gives back memory that a large body has taken.
    pub fn shrink_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Ready once something can be read; one registration lasts until then.
    pub fn poll_readable(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.io.poll_readable(context)
    }

    /// Reads once without waiting; `None` where nothing is there, 0 at the end.
    ///
    /// # Errors
    /// When the connection is broken.
    pub fn try_read(&mut self) -> io::Result<Option<usize>> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + MAX_READ_BYTES, 0);
        let outcome = self.io.get_ref().read(&mut self.buffer[filled..]);
        let count = *outcome.as_ref().unwrap_or(&0);
        self.buffer.truncate(filled + count);
        match outcome {
            Ok(count) => Ok(Some(count)),
            Err(error) if is_transient(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads more; 0 at the end of the connection.
    ///
    /// # Errors
    /// When the connection is broken.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        loop {
            if let Some(count) = self.try_read()? {
                return Ok(count);
            }
            poll_fn(|context| self.io.poll_readable(context)).await?;
        }
    }

    /// Writes what goes out without waiting and says how much that was.
    ///
    /// # Errors
    /// When the connection is broken.
    pub fn try_write(
        &self,
        bytes: &[u8],
    ) -> io::Result<usize> {
        match self.io.get_ref().write(bytes) {
            Ok(count) => Ok(count),
            Err(error) if is_transient(&error) => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Ready once something can be written.
    pub fn poll_writable(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.io.poll_writable(context)
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// When the connection is broken.
    pub async fn write_all(
        &self,
        bytes: &[u8],
    ) -> io::Result<()> {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let count = self.try_write(remaining)?;
            remaining = &remaining[count..];
            if !remaining.is_empty() {
                poll_fn(|context| self.io.poll_writable(context)).await?;
            }
        }
        Ok(())
    }

    /// Looks whether an unused connection can still be used.
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
