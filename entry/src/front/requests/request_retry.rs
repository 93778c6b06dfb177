use crate::front::RequestHandler;

/// Sends allowed beyond the route's maximum number of endpoints, for endpoints that prove that they
/// did not run the request.
const MAX_UNEXECUTED_SENDS: u32 = 2;

impl RequestHandler<'_> {
    /// Whether a request that may have run already may be run again.
    pub(crate) fn can_retry(&self) -> bool {
        let is_allowed = self.possible_runs == 0 || self.route().retry.allows_rerun();
        is_allowed && self.possible_runs < self.max_runs()
    }

    /// Whether another run can continue what the caller has received.
    pub(crate) fn can_continue(&self) -> bool {
        let is_continuable = self.route().is_stream && self.progress.splitter.can_continue();
        !self.progress.is_head_sent || is_continuable
    }

    /// Charges another send to the retry budget; false if it is not allowed.
    pub(crate) fn acquire_retry(&mut self) -> bool {
        if !self.can_retry() || self.sends >= self.max_runs() + MAX_UNEXECUTED_SENDS {
            return false;
        }
        let (now, limit) = (self.front.now(), &self.front.settings.retry_limit);
        let mut state = self.front.state();
        let fronts = state.sharing_fronts();
        // The clock starts with the process, so `now` is its uptime.
        let uptime = now;
        let window = state.retry_window(&self.service);
        window.try_acquire(limit, fronts, uptime, now)
    }

    /// Whether the retry budget admits another send now.
    pub(crate) fn has_retry_budget(&self) -> bool {
        let (now, limit) = (self.front.now(), &self.front.settings.retry_limit);
        let mut state = self.front.state();
        let fronts = state.sharing_fronts();
        let uptime = now;
        let window = state.retry_window(&self.service);
        window.admits(limit, fronts, uptime, now)
    }
}
