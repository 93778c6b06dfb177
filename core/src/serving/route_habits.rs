use crate::time::Micros;

/// Weight of one request in the mean sizes of its route.
const SIZE_STEP: f64 = 0.05;
/// Part of the longest patience below which a caller has been here before: it
/// waited, was refused, and has that much less time left.
const RETURN_PART: f64 = 0.97;

/// What the prompts of one route are like.
#[derive(Debug, Clone, Default)]
pub struct RouteHabits {
    tokens: Option<f64>,
    unread: f64,
    patience: Micros,
}

impl RouteHabits {
    /// Notes a prompt: its size and what has to be read of it, in tokens, and the
    /// time that its caller still has.
    pub fn note(
        &mut self,
        tokens: u32,
        unread: u32,
        patience: Micros,
    ) {
        let (tokens, unread) = (f64::from(tokens), f64::from(unread));
        self.patience = self.patience.max(patience);
        match &mut self.tokens {
            Some(mean) => {
                *mean += (tokens - *mean) * SIZE_STEP;
                self.unread += (unread - self.unread) * SIZE_STEP;
            }
            None => {
                self.tokens = Some(tokens);
                self.unread = unread;
            }
        }
    }

    /// Mean size, in tokens; one where no prompt has come.
    pub fn tokens(&self) -> f64 {
        self.tokens.unwrap_or(1.0).max(1.0)
    }

    /// Mean of what has to be read, in tokens.
    pub fn unread(&self) -> f64 {
        self.unread
    }

    /// Whether a caller with so much time left has most likely been refused before.
    pub fn is_return(
        &self,
        patience: Micros,
    ) -> bool {
        (patience.0 as f64) < self.patience.0 as f64 * RETURN_PART
    }
}
