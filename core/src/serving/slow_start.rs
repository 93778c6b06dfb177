use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Span in which sends are counted against a rate.
pub const RATE_WINDOW: Micros = Micros::from_secs(1);
/// Time for which a grant holds, from when it was sent: a digest or two may get lost in it.
pub const GRANT_TTL: Micros = Micros::from_millis(700);
/// Time after which a grant is over for whoever had it: what was sent in its last moment counts in
/// the second after that.
pub const GRANT_RECLAIM_DELAY: Micros = Micros(GRANT_TTL.0 + RATE_WINDOW.0);

/// How an endpoint of a service bears load right after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// Time from its start for which it is slow.
    pub duration: Micros,
    /// Requests a second that it bears then.
    pub per_second: f64,
}

/// How far the requests of all boxes together may be above what an endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBound {
    /// Times of what it bears.
    pub ratio: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl SlowStartBound {
    /// Most requests that such an endpoint may get in a second from all boxes.
    pub fn limit(
        &self,
        rule: &SlowStartRule,
    ) -> u32 {
        (rule.per_second * self.ratio + self.slack).max(0.0) as u32
    }
}

/// Requests a second that one box may send to one endpoint while that starts slowly; all grants
/// for the endpoint that hold together are within its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendGrant {
    /// Requests in any second.
    pub per_second: u32,
}

/// Where an endpoint stands with its slow start, as one box sees it.
#[derive(Debug, Clone, Default)]
pub struct EndpointSlowStart {
    until: Option<Micros>,
    /// The last grant, and when it had been sent at the earliest.
    grant: Option<(SendGrant, Micros)>,
    /// Requests of this box in the last second, by ticket.
    sends: VecDeque<(u64, Micros)>,
}

impl EndpointSlowStart {
    /// Records that it is slow for so long from now.
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
        // One that comes out of order says nothing new.
        if self.grant.is_none_or(|(_, known)| sent_at >= known) {
            self.grant = Some((grant, sent_at));
        }
    }

    /// Whether it is slow now.
    pub fn is_slow(
        &self,
        now: Micros,
    ) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// For how long it is still slow.
    pub fn time_left(
        &self,
        now: Micros,
    ) -> Micros {
        self.until.map_or(Micros::ZERO, |until| until.since(now))
    }

    /// Time after which a request may be sent to it: one that was sent counts no more, or who shares
    /// out what it bears may do so, or it is warm.
    pub fn admits_after(
        &self,
        now: Micros,
    ) -> Micros {
        if self.admits(now) {
            return Micros::ZERO;
        }
        let oldest = self.sends.iter().find(|(_, at)| is_in_window(*at, now));
        let over = oldest.filter(|_| self.granted_rate(now) > 0);
        let wait = over.map_or(GRANT_RECLAIM_DELAY, |(_, at)| {
            RATE_WINDOW.since(now.since(*at))
        });
        wait.min(self.time_left(now))
    }

    /// Whether a request may be sent to it now.
    pub fn admits(
        &self,
        now: Micros,
    ) -> bool {
        !self.is_slow(now) || self.sent_in_window(now) < self.granted_rate(now)
    }

    /// Requests that this box may send to it in a second while it is slow.
    fn granted_rate(
        &self,
        now: Micros,
    ) -> u32 {
        let holds = |at: Micros| now.since(at) < GRANT_TTL;
        let grant = self.grant.filter(|(_, sent_at)| holds(*sent_at));
        grant.map_or(0, |(grant, _)| grant.per_second)
    }

    fn sent_in_window(
        &self,
        now: Micros,
    ) -> u32 {
        let recent = self.sends.iter().filter(|(_, at)| is_in_window(*at, now));
        recent.count() as u32
    }

    /// Notes a request that is sent now. One that was noted before counts from now.
    pub fn record_sent(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        self.sends
            .retain(|(known, at)| *known != ticket && is_in_window(*at, now));
        self.sends.push_back((ticket, now));
    }

    /// Forgets a request that was not sent.
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
