use {
    crate::time::Micros,
    std::collections::{HashMap, VecDeque},
};

/// Time for which the longest runs of a route are remembered.
const MEMORY: Micros = Micros::from_secs(60);
/// Interval within which only the longest run of a route is remembered.
const BUCKET: Micros = Micros::from_secs(10);
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

/// The longest recent runs of each route at endpoints.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    routes: HashMap<String, VecDeque<(Micros, Micros)>>,
}

impl RunTimes {
    /// Records a run that has ended.
    pub fn record(
        &mut self,
        route: &str,
        run_time: Micros,
        now: Micros,
    ) {
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, buckets| {
                buckets
                    .back()
                    .is_some_and(|(at, _)| now.since(*at) < MEMORY)
            });
            self.routes.insert(route.to_string(), VecDeque::new());
        }
        let Some(buckets) = self.routes.get_mut(route) else {
            return;
        };
        match buckets.back_mut() {
            Some((at, longest)) if now.since(*at) < BUCKET => *longest = run_time.max(*longest),
            _ => buckets.push_back((now, run_time)),
        }
        while buckets
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MEMORY)
        {
            buckets.pop_front();
        }
    }

    /// The longest recent run of a route; `None` if there was none.
    pub fn longest(
        &self,
        route: &str,
        now: Micros,
    ) -> Option<Micros> {
        let buckets = self.routes.get(route)?.iter();
        let recent = buckets.filter(|(at, _)| now.since(*at) < MEMORY + BUCKET);
        recent.map(|(_, longest)| *longest).max()
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
    /// the longest recent one of its route would just end in time.
    pub fn admits_stream(
        &self,
        time_limit: Micros,
        longest_run: Option<Micros>,
        now: Micros,
    ) -> bool {
        let is_early = now.since(self.since) <= STREAM_TIME;
        let ends_in_time = longest_run.is_none_or(|longest| now + longest <= self.answers_by);
        (is_early && ends_in_time) || self.admits(time_limit, longest_run, now)
    }
}
