use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Window in which requests are counted against a rate.
pub const RATE_WINDOW: Micros = Micros::from_secs(1);
/// Validity of a grant, from when it was sent: one or two lost digests do not interrupt it.
pub const GRANT_TTL: Micros = Micros::from_millis(700);
/// Time after which a grant can be given to another box: requests sent at the end of its validity
/// count in the following window.
pub const GRANT_RECLAIM_DELAY: Micros = Micros(GRANT_TTL.0 + RATE_WINDOW.0);

/// Load that an endpoint of a service can handle after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// Time after its start during which the endpoint is slow.
    pub duration: Micros,
    /// Requests per second that it can handle during that time.
    pub per_second: f64,
}

/// How far the requests of all boxes together may exceed what an endpoint can handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBound {
    /// Multiple of the requests per second that it can handle.
    pub ratio: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl SlowStartBound {
    /// Maximum number of requests per second that the endpoint may get from all boxes.
    pub fn limit(
        &self,
        rule: &SlowStartRule,
    ) -> u32 {
        (rule.per_second * self.ratio + self.slack).max(0.0) as u32
    }
}

/// Requests per second that one box may send to one endpoint in slow start. All valid grants for
/// the endpoint add up to its limit at most.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendGrant {
    /// Requests in any window of one second.
    pub per_second: u32,
}

/// Slow start of an endpoint, as seen by one box.
#[derive(Debug, Clone, Default)]
pub struct EndpointSlowStart {
    until: Option<Micros>,
    /// The last grant, and the earliest time at which it can have been sent.
    grant: Option<(SendGrant, Micros)>,
    /// Requests of this box within the last window, by ticket.
    sends: VecDeque<(u64, Micros)>,
}

impl EndpointSlowStart {
    /// Records that the endpoint is slow for the given time from now.
    pub fn begin(
        &mut self,
        time_left: Micros,
        now: Micros,
    ) {
        if time_left > Micros::ZERO {
            self.until = self.until.max(Some(now + time_left));
        }
    }

    /// Records a grant that was sent at `sent_at` or later.
    pub fn update_grant(
        &mut self,
        grant: SendGrant,
        sent_at: Micros,
    ) {
        // Ignores a grant that arrives out of order.
        if self.grant.is_none_or(|(_, known)| sent_at >= known) {
            self.grant = Some((grant, sent_at));
        }
    }

    /// Whether the endpoint is slow now.
    pub fn is_slow(
        &self,
        now: Micros,
    ) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time until the endpoint is no longer slow.
    pub fn time_left(
        &self,
        now: Micros,
    ) -> Micros {
        self.until.map_or(Micros::ZERO, |until| until.since(now))
    }

    /// Time until a request may be sent: until an earlier one leaves the window, a grant may have
    /// arrived, or the slow start ends.
    pub fn admits_after(
        &self,
        now: Micros,
    ) -> Micros {
        if self.admits(now) {
            return Micros::ZERO;
        }
        let oldest = self.sends.iter().find(|(_, at)| is_in_window(*at, now));
        let leaving = oldest.filter(|_| self.granted_rate(now) > 0);
        let wait = leaving.map_or(GRANT_RECLAIM_DELAY, |(_, at)| {
            RATE_WINDOW.since(now.since(*at))
        });
        wait.min(self.time_left(now))
    }

    /// Whether a request may be sent now.
    pub fn admits(
        &self,
        now: Micros,
    ) -> bool {
        !self.is_slow(now) || self.sent_in_window(now) < self.granted_rate(now)
    }

    /// Requests that this box may send per window during slow start.
    fn granted_rate(
        &self,
        now: Micros,
    ) -> u32 {
        let is_valid = |at: Micros| now.since(at) < GRANT_TTL;
        let grant = self.grant.filter(|(_, sent_at)| is_valid(*sent_at));
        grant.map_or(0, |(grant, _)| grant.per_second)
    }

    fn sent_in_window(
        &self,
        now: Micros,
    ) -> u32 {
        let recent = self.sends.iter().filter(|(_, at)| is_in_window(*at, now));
        recent.count() as u32
    }

    /// Records a request that is sent now. A request recorded before counts from now.
    pub fn record_sent(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        self.sends
            .retain(|(known, at)| *known != ticket && is_in_window(*at, now));
        self.sends.push_back((ticket, now));
    }

    /// Removes a request that was not sent.
    pub fn record_unsent(
        &mut self,
        ticket: u64,
    ) {
        self.sends.retain(|(known, _)| *known != ticket);
    }
}

fn is_in_window(
    at: Micros,
    now: Micros,
) -> bool {
    now.since(at) <= RATE_WINDOW
}
