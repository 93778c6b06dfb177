use {
    super::SilenceLimit,
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
const READ_BYTES: usize = 16 << 10;

/// What an unused connection has to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing: it can be used.
    Quiet,
    /// Bytes that nobody asked for.
    Unasked,
    /// It is closed or broken.
    Closed,
}

/// A TCP connection with what was read from it and not used yet.
#[derive(Debug)]
pub struct ByteLink {
    io: Async<TcpStream>,
    unused: Vec<u8>,
}

impl ByteLink {
    /// Takes a connection over.
    ///
    /// # Errors
    /// When the system refuses an option of the socket.
    pub fn new(
        io: Async<TcpStream>,
        silence: &SilenceLimit,
    ) -> io::Result<Self> {
        io.get_ref().set_nodelay(true)?;
        silence.watch(io.get_ref())?;
        Ok(ByteLink {
            io,
            unused: Vec::new(),
        })
    }

    /// Opens a connection; it is watched by [`SilenceLimit::OUTWARD`].
    ///
    /// # Errors
    /// When the other side refuses, or does not answer within `limit`.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let late = async {
            Timer::after(limit).await;
            Err(ErrorKind::TimedOut.into())
        };
        let io = futures_lite::future::or(Async::<TcpStream>::connect(address), late).await?;
        ByteLink::new(io, &SilenceLimit::OUTWARD)
    }

    /// The socket itself, for options.
    pub fn socket(&self) -> &TcpStream {
        self.io.get_ref()
    }

    /// Bytes read and not used yet.
    pub fn unused(&self) -> &[u8] {
        &self.unused
    }

    /// Drops the first bytes of [`ByteLink::unused`].
    pub fn use_up(
        &mut self,
        count: usize,
    ) {
        if count >= self.unused.len() {
            self.unused.clear();
        } else {
            self.unused.drain(..count);
        }
    }

    /// Gives back memory that a large body has taken.
    pub fn shrink(&mut self) {
        if self.unused.is_empty() {
            self.unused = Vec::new();
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
        let held = self.unused.len();
        self.unused.resize(held + READ_BYTES, 0);
        let outcome = self.io.get_ref().read(&mut self.unused[held..]);
        let count = *outcome.as_ref().unwrap_or(&0);
        self.unused.truncate(held + count);
        match outcome {
            Ok(count) => Ok(Some(count)),
            Err(error) if is_pause(&error) => Ok(None),
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
            Err(error) if is_pause(&error) => Ok(0),
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
        let mut left = bytes;
        while !left.is_empty() {
            let count = self.try_write(left)?;
            left = &left[count..];
            if !left.is_empty() {
                poll_fn(|context| self.io.poll_writable(context)).await?;
            }
        }
        Ok(())
    }

    /// Looks whether an unused connection can still be used.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.unused.is_empty() {
            return IdleState::Unasked;
        }
        match self.try_read() {
            Ok(None) => IdleState::Quiet,
            Ok(Some(0)) | Err(_) => IdleState::Closed,
            Ok(Some(_)) => IdleState::Unasked,
        }
    }
}

fn is_pause(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
