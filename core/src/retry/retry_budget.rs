/// Keeps retries to a share of first tries, so that a failing endpoint cannot
/// multiply the load.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    level: f64,
}

/// Retries earned by one first try.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up.
const LEVEL_CAP: f64 = 20.0;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            level: LEVEL_CAP / 2.0,
        }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn earn(&mut self) {
        self.level = (self.level + RETRY_RATIO).min(LEVEL_CAP);
    }

    /// Takes one retry if the budget has it.
    pub fn spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
