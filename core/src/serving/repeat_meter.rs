use {crate::time::Micros, std::collections::VecDeque};

/// Width of one count; the window slides in steps of it.
const STEP: Micros = Micros::from_millis(500);
/// Part of the bound that is used: what is on its way is not counted yet.
const CAUTION: f64 = 0.7;

/// The bound on what is sent again to one service, over a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBound {
    /// Length of the window.
    pub window: Micros,
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats beyond those, for all boxes together.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct StepCount {
    step: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats of one box for one service.
#[derive(Debug, Clone, Default)]
pub struct RepeatMeter {
    counts: VecDeque<StepCount>,
}

impl RepeatMeter {
    /// Notes a request.
    pub fn request(
        &mut self,
        now: Micros,
    ) {
        self.count(now).requests += 1;
    }

    /// Takes a repeat, if the bound's share for one of `boxes` has room.
    ///
    /// A process that has lived for less than the window may stand in the place
    /// of one that has used its share: it takes half.
    pub fn take(
        &mut self,
        bound: &RepeatBound,
        boxes: u32,
        lived: Micros,
        now: Micros,
    ) -> bool {
        let oldest = step_of(now).saturating_sub(bound.window.0.div_ceil(STEP.0));
        while self.counts.front().is_some_and(|c| c.step < oldest) {
            self.counts.pop_front();
        }
        let requests: u32 = self.counts.iter().map(|c| c.requests).sum();
        let repeats: u32 = self.counts.iter().map(|c| c.repeats).sum();
        let slack = bound.slack / f64::from(boxes.max(1));
        let caution = match lived < bound.window {
            true => CAUTION / 2.0,
            false => CAUTION,
        };
        let room = caution * (bound.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > room {
            return false;
        }
        self.count(now).repeats += 1;
        true
    }

    fn count(
        &mut self,
        now: Micros,
    ) -> &mut StepCount {
        let step = step_of(now);
        let is_new = self.counts.back().is_none_or(|c| c.step < step);
        if is_new {
            self.counts.push_back(StepCount {
                step,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}

fn step_of(now: Micros) -> u64 {
    now.0 / STEP.0
}
