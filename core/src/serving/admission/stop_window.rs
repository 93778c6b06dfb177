use {
    crate::time::Micros,
    std::collections::{HashMap, VecDeque},
};

/// Time for which the requests of a route are remembered.
const MEMORY: Micros = Micros::from_secs(60);
/// Maximum number of remembered requests of a route.
const MAX_RUNS: usize = 128;
/// One in this many requests may take longer than what counts as the longest.
const OUTLIER_SHARE: usize = 32;
/// Number of requests that tell how long those of a route take.
const ENOUGH_RUNS: usize = 4;
/// Time in which an answer is passed on to the caller before the process exits.
const ANSWER_TIME: Micros = Micros::from_millis(150);
/// Time in which answers that have begun are ended before the process exits.
const CUT_TIME: Micros = Micros::from_millis(50);
/// Time assumed for a run on a route without recent ones.
const UNKNOWN_TIME: Micros = Micros::from_millis(1_500);
/// Time after SIGTERM during which streams are accepted that are expected to end just before the exit.
/// The platform waits for those that arrive within 3 s.
const STREAM_TIME: Micros = Micros::from_millis(2_800);
/// Time by which a run may exceed one and a half times the longest recent one.
const SPARE_TIME: Micros = Micros::from_millis(200);

/// How long the recent requests of a route took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentRuns {
    /// The longest time, but for a few that took much longer than the others.
    pub longest: Micros,
    /// Number of requests.
    pub count: usize,
}

/// How long the recent requests of each route took.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    routes: HashMap<String, VecDeque<(Micros, Micros)>>,
}

impl RunTimes {
    /// Records a request that was answered.
    pub fn record(
        &mut self,
        route: &str,
        run_time: Micros,
        now: Micros,
    ) {
        if !self.routes.contains_key(route) {
            self.routes
                .retain(|_, runs| runs.back().is_some_and(|(at, _)| now.since(*at) < MEMORY));
            self.routes.insert(route.to_string(), VecDeque::new());
        }
        let Some(runs) = self.routes.get_mut(route) else {
            return;
        };
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back((now, run_time));
    }

    /// The recent requests of a route; `None` if there was none.
    pub fn recent(
        &self,
        route: &str,
        now: Micros,
    ) -> Option<RecentRuns> {
        let runs = self.routes.get(route)?.iter();
        let recent = runs.filter(|(at, _)| now.since(*at) < MEMORY);
        let mut times: Vec<Micros> = recent.map(|(_, time)| *time).collect();
        times.sort_unstable();
        let count = times.len();
        let longest = *times.get(count.checked_sub(1 + count / OUTLIER_SHARE)?)?;
        Some(RecentRuns { longest, count })
    }

    /// The longest recent request of a route; `None` if there was none.
    pub fn longest(
        &self,
        route: &str,
        now: Micros,
    ) -> Option<Micros> {
        Some(self.recent(route, now)?.longest)
    }
}

/// Time that a stopping process has for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopWindow {
    /// When the process was told to stop.
    pub since: Micros,
    /// When each request must have been answered whose caller has received nothing.
    pub answers_by: Micros,
    /// When answers that have begun must have ended.
    pub ends_by: Micros,
}

impl StopWindow {
    /// Window of a process that was told to stop at `since` and exits at `exits_at`.
    pub fn new(
        since: Micros,
        exits_at: Micros,
    ) -> Self {
        StopWindow {
            since,
            answers_by: exits_at.since(ANSWER_TIME),
            ends_by: exits_at.since(CUT_TIME),
        }
    }

    /// Whether a request that may take `time_limit` is accepted: it ends in time in any case, or the
    /// longest recent run of its route would, with half of its time and a little more to spare.
    pub fn admits(
        &self,
        time_limit: Micros,
        longest_run: Option<Micros>,
        now: Micros,
    ) -> bool {
        let expected = longest_run.map_or(UNKNOWN_TIME, |longest| Micros(longest.0 * 3 / 2));
        now + time_limit.min(expected + SPARE_TIME) <= self.answers_by
    }

    /// Whether a stream is accepted. Until the load balancer sends no more of them, it is enough that
    /// the longest recent one of its route would just end in time. After that, enough recent ones must
    /// be known.
    pub fn admits_stream(
        &self,
        time_limit: Micros,
        recent: Option<RecentRuns>,
        now: Micros,
    ) -> bool {
        if now.since(self.since) <= STREAM_TIME {
            return recent.is_none_or(|runs| now + runs.longest <= self.answers_by);
        }
        let known = recent.filter(|runs| runs.count >= ENOUGH_RUNS);
        known.is_some_and(|runs| self.admits(time_limit, Some(runs.longest), now))
    }
}
