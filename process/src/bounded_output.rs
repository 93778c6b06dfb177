use {
    rustix::{
        event::{poll, PollFd, PollFlags, Timespec},
        fs::{fcntl_getfl, fcntl_setfl, OFlags},
        io::Errno,
    },
    std::{
        io::{self, Write},
        time::{Duration, Instant},
    },
};

/// Maximum number of buffered bytes, about one second of log lines of a busy box.
const MAX_BUFFERED_BYTES: usize = 128 << 10;
/// Buffer length at which lines are written, so that one system call writes many lines.
const FLUSH_THRESHOLD_BYTES: usize = 8 << 10;

/// Non-blocking standard output with a bounded buffer: lines that do not fit are counted and
/// dropped.
#[derive(Debug)]
pub(crate) struct BoundedOutput {
    buffer: Vec<u8>,
    dropped: u64,
    flush_threshold: usize,
}

impl BoundedOutput {
    /// Switches standard output to non-blocking mode.
    pub fn new() -> Self {
        let output = rustix::stdio::stdout();
        // If the mode cannot be set, writes may block, as with ordinary standard output.
        if let Ok(flags) = fcntl_getfl(output) {
            let _ = fcntl_setfl(output, flags | OFlags::NONBLOCK);
        }
        BoundedOutput {
            buffer: Vec::new(),
            dropped: 0,
            flush_threshold: FLUSH_THRESHOLD_BYTES,
        }
    }

    /// Writes all lines before the process exits; waits for the reader for at most `limit`.
    pub fn finish(
        &mut self,
        limit: Duration,
    ) {
        let ends_at = Instant::now() + limit;
        self.note_dropped();
        loop {
            self.write_buffer();
            let remaining = ends_at.saturating_duration_since(Instant::now());
            if self.buffer.is_empty() || remaining.is_zero() {
                return;
            }
            let output = rustix::stdio::stdout();
            let timeout = Timespec::try_from(remaining).ok();
            let mut writable = [PollFd::new(&output, PollFlags::OUT)];
            match poll(&mut writable, timeout.as_ref()) {
                Err(error) if error != Errno::INTR => return,
                // The reader has closed the pipe.
                Ok(_) if writable[0].revents().contains(PollFlags::ERR) => return,
                _ => {}
            }
        }
    }

    /// Appends a line that tells how many were dropped, if any were.
    fn note_dropped(&mut self) {
        if self.dropped > 0 {
            let note = format!("level=WARN event=lines-left-out count={}\n", self.dropped);
            self.buffer.extend_from_slice(note.as_bytes());
            self.dropped = 0;
        }
    }

    fn write_buffer(&mut self) {
        while !self.buffer.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), &self.buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    self.buffer.drain(..count);
                }
            }
        }
    }
}

impl Write for BoundedOutput {
    fn write(
        &mut self,
        line: &[u8],
    ) -> io::Result<usize> {
        if self.buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            self.write_buffer();
        }
        if self.buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return Ok(line.len());
        }
        self.note_dropped();
        self.buffer.extend_from_slice(line);
        if self.buffer.len() >= self.flush_threshold {
            self.write_buffer();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_buffer();
        Ok(())
    }
}
