use {crate::time::Micros, std::collections::VecDeque};

/// Length of the steps in which requests and retries are counted and the window slides.
const STEP_LENGTH: Micros = Micros::from_millis(500);
/// Fraction of the limit that is used, as requests in transit are not counted yet.
const SAFETY_FACTOR: f64 = 0.7;

/// Limit on retries to one service, over a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Micros,
    /// Retries per request in the window.
    pub ratio: f64,
    /// Additional retries, for all boxes together.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct StepCount {
    step: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries of one box for one service.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    counts: VecDeque<StepCount>,
}

impl RetryWindow {
    /// Records a request.
    pub fn record_request(
        &mut self,
        now: Micros,
    ) {
        self.current_step(now).requests += 1;
    }

    /// Records a retry if it is within the share of this box, one of `boxes`, in the limit; true if
    /// it is.
    ///
    /// A process with an uptime below the window may replace one that has used its share, so it
    /// receives half of the share.
    pub fn try_acquire(
        &mut self,
        limit: &RetryLimit,
        boxes: u32,
        uptime: Micros,
        now: Micros,
    ) -> bool {
        let admits = self.admits(limit, boxes, uptime, now);
        self.current_step(now).retries += u32::from(admits);
        admits
    }

    /// Whether a retry would be within that share now.
    pub fn admits(
        &mut self,
        limit: &RetryLimit,
        boxes: u32,
        uptime: Micros,
        now: Micros,
    ) -> bool {
        let oldest = step_index(now).saturating_sub(limit.window.0.div_ceil(STEP_LENGTH.0));
        while self.counts.front().is_some_and(|c| c.step < oldest) {
            self.counts.pop_front();
        }
        let requests: u32 = self.counts.iter().map(|c| c.requests).sum();
        let retries: u32 = self.counts.iter().map(|c| c.retries).sum();
        let slack = limit.slack / f64::from(boxes.max(1));
        let safety_factor = match uptime < limit.window {
            true => SAFETY_FACTOR / 2.0,
            false => SAFETY_FACTOR,
        };
        let allowance = safety_factor * (limit.ratio * f64::from(requests) + slack);
        f64::from(retries) + 1.0 <= allowance
    }

    fn current_step(
        &mut self,
        now: Micros,
    ) -> &mut StepCount {
        let step = step_index(now);
        let is_new = self.counts.back().is_none_or(|c| c.step < step);
        if is_new {
            self.counts.push_back(StepCount {
                step,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

fn step_index(now: Micros) -> u64 {
    now.0 / STEP_LENGTH.0
}
