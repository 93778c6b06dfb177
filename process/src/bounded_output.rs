use {
    rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags},
    std::io::{self, Write},
};

/// Bytes of lines that wait for standard output at most; about a second of a
/// busy box.
const HELD_LIMIT: usize = 128 << 10;
/// Bytes from which lines are written out; one system call carries many.
const WRITE_FROM: usize = 8 << 10;

/// Standard output that never blocks: lines that find no room are counted and
/// left out.
#[derive(Debug)]
pub(crate) struct BoundedOutput {
    held: Vec<u8>,
    left_out: u64,
    write_from: usize,
}

impl BoundedOutput {
    /// Takes standard output over.
    pub fn new() -> Self {
        let output = rustix::stdio::stdout();
        // Where the system refuses, writing may block, as it does elsewhere.
        if let Ok(flags) = fcntl_getfl(output) {
            let _ = fcntl_setfl(output, flags | OFlags::NONBLOCK);
        }
        BoundedOutput {
            held: Vec::new(),
            left_out: 0,
            write_from: WRITE_FROM,
        }
    }

    fn push(&mut self) {
        while !self.held.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), &self.held) {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    self.held.drain(..count);
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
        if self.held.len() + line.len() > HELD_LIMIT {
            self.push();
        }
        if self.held.len() + line.len() > HELD_LIMIT {
            self.left_out += 1;
            return Ok(line.len());
        }
        if self.left_out > 0 {
            let note = format!("level=WARN event=lines-left-out count={}\n", self.left_out);
            self.held.extend_from_slice(note.as_bytes());
            self.left_out = 0;
        }
        self.held.extend_from_slice(line);
        if self.held.len() >= self.write_from {
            self.push();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.push();
        Ok(())
    }
}
