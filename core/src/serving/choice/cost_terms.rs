use std::fmt;

/// Terms of the cost of an endpoint for a request, in milliseconds. The endpoint with the lowest
/// total is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostTerms {
    /// Prefill of requests that precede this one.
    pub ahead: f64,
    /// Prefill of the request's own prompt.
    pub prefill: f64,
    /// Fetches of cached parts: their time, and the price of the transfer.
    pub fetch: f64,
    /// Price of prefilling shared parts again.
    pub shared: f64,
    /// Requests that run or wait there and delay this one.
    pub running: f64,
    /// Start of the answer at a slow engine beyond that at others.
    pub rate: f64,
    /// Weights that a newer version replaces.
    pub old_weights: f64,
    /// Missing memory: running requests are preempted and prefilled again.
    pub memory: f64,
    /// Wait for a slot, if none is free.
    pub slot: f64,
    /// Use of the pool that is not for prompts of this size.
    pub pool: f64,
    /// Path to another failure domain.
    pub domain: f64,
    /// Opening of a connection, if none is open.
    pub connection: f64,
    /// Bonus of the home engine; negative.
    pub home: f64,
    /// Factor on the terms of the endpoint itself after failures; 0 counts as 1.
    pub penalty: f64,
}

impl CostTerms {
    /// Terms that depend on the endpoint alone, without its penalty for failures.
    pub fn endpoint_cost(&self) -> f64 {
        self.ahead
            + self.prefill
            + self.fetch
            + self.shared
            + self.running
            + self.rate
            + self.old_weights
            + self.memory
            + self.slot
    }

    /// What the penalty for failures adds.
    pub fn failure_cost(&self) -> f64 {
        match self.penalty > 0.0 {
            true => self.endpoint_cost() * (self.penalty - 1.0),
            false => 0.0,
        }
    }

    /// Sum of all terms.
    pub fn total(&self) -> f64 {
        self.endpoint_cost()
            + self.failure_cost()
            + self.pool
            + self.domain
            + self.connection
            + self.home
    }
}

/// The terms of half a millisecond or more, for logs, in whole milliseconds; they add up to the total.
impl fmt::Display for CostTerms {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        let terms = [
            ("ahead", self.ahead),
            ("prefill", self.prefill),
            ("fetch", self.fetch),
            ("shared", self.shared),
            ("running", self.running),
            ("rate", self.rate),
            ("old-weights", self.old_weights),
            ("memory", self.memory),
            ("slot", self.slot),
            ("failures", self.failure_cost()),
            ("pool", self.pool),
            ("domain", self.domain),
            ("connection", self.connection),
            ("home", self.home),
        ];
        let mut separator = "";
        for (name, millis) in terms.iter().filter(|(_, millis)| millis.abs() >= 0.5) {
            write!(formatter, "{separator}{name}:{millis:.0}")?;
            separator = ",";
        }
        Ok(())
    }
}
