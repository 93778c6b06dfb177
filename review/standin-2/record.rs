//! What a case writes down, with the time since its start.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

/// The clock and the lines of a case; the lines go to standard output.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn start() -> Self {
        Record {
            started_at: Instant::now(),
            broken: Arc::default(),
        }
    }

    /// Seed of random choices, which differs from run to run.
    pub fn seed(&self) -> u64 {
        let seed = u64::from(std::process::id()) << 32 | 0x5eed;
        self.line(format!("seed {seed}"));
        seed
    }

    /// Milliseconds since the start.
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// The steady clock that the store and the engines state, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.elapsed_ms() + 100_000
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        println!("{at:9.3} s  {}", text.as_ref());
    }

    /// Records that the rule was broken.
    pub fn broken(&self, text: impl AsRef<str>) {
        self.line(format!("RULE BROKEN: {}", text.as_ref()));
        self.broken.lock().expect("lock").push(text.as_ref().to_string());
    }

    /// Number of times that the rule was broken.
    pub fn broken_count(&self) -> usize {
        self.broken.lock().expect("lock").len()
    }
}
