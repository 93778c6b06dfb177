use crate::time::Micros;

/// A token bucket: a sustained rate with a bounded burst.
#[derive(Debug, Clone, Copy)]
pub struct RateBucket {
    level: f64,
    filled_at: Micros,
}

impl RateBucket {
    /// Creates a full bucket.
    pub fn full(
        burst: f64,
        now: Micros,
    ) -> Self {
        RateBucket {
            level: burst,
            filled_at: now,
        }
    }

    /// Takes one token if available.
    ///
    /// `rate` is in tokens per second, `burst` in tokens.
    ///
    /// # Errors
    /// The time until the next token is available.
    pub fn take(
        &mut self,
        rate: f64,
        burst: f64,
        now: Micros,
    ) -> Result<(), Micros> {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(burst.max(1.0));
        self.filled_at = self.filled_at.max(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait_secs = (1.0 - self.level) / rate.max(1e-3);
        Err(Micros((wait_secs * 1e6) as u64))
    }
}
