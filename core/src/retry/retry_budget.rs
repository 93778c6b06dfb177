/// Limits retries to a fraction of first attempts, so that failing endpoints do not
/// multiply the load.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    level: f64,
}

/// Number of retries earned by each first attempt.
pub const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries that can accumulate.
const MAX_LEVEL: f64 = 20.0;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            level: MAX_LEVEL / 2.0,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.level = (self.level + RETRY_RATIO).min(MAX_LEVEL);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
