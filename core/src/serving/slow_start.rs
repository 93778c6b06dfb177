use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Span in which sends are counted against a rate.
pub const RATE_SPAN: Micros = Micros::from_secs(1);
/// Time for which a grant holds, from when it was sent: a digest or two may get lost in it.
pub const GRANT_LIFE: Micros = Micros::from_millis(700);
/// Time after which a grant is over for whoever had it: what was sent in its last moment counts in
/// the second after that.
pub const GRANT_OVER: Micros = Micros(GRANT_LIFE.0 + RATE_SPAN.0);

/// How an endpoint of a service bears load right after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// Time from its start for which it is slow.
    pub span: Micros,
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
        left: Micros,
        now: Micros,
    ) {
        if left > Micros::ZERO {
            self.until = self.until.max(Some(now + left));
        }
    }

    /// Records a grant that was sent at `sent_at` or later.
    pub fn take_grant(
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
    pub fn left(
        &self,
        now: Micros,
    ) -> Micros {
        self.until.map_or(Micros::ZERO, |until| until.since(now))
    }

    /// Time after which a request may be sent to it: one that was sent counts no more, or who shares
    /// out what it bears may do so, or it is warm.
    pub fn open_after(
        &self,
        now: Micros,
    ) -> Micros {
        if self.admits(now) {
            return Micros::ZERO;
        }
        let oldest = self.sends.iter().find(|(_, at)| is_counted(*at, now));
        let over = oldest.filter(|_| self.granted(now) > 0);
        let wait = over.map_or(GRANT_OVER, |(_, at)| RATE_SPAN.since(now.since(*at)));
        wait.min(self.left(now))
    }

    /// Whether a request may be sent to it now.
    pub fn admits(
        &self,
        now: Micros,
    ) -> bool {
        !self.is_slow(now) || self.sent_since(now) < self.granted(now)
    }

    /// Requests that this box may send to it in a second while it is slow.
    fn granted(
        &self,
        now: Micros,
    ) -> u32 {
        let holds = |at: Micros| now.since(at) < GRANT_LIFE;
        let grant = self.grant.filter(|(_, sent_at)| holds(*sent_at));
        grant.map_or(0, |(grant, _)| grant.per_second)
    }

    fn sent_since(
        &self,
        now: Micros,
    ) -> u32 {
        let recent = self.sends.iter().filter(|(_, at)| is_counted(*at, now));
        recent.count() as u32
    }

    /// Notes a request that is sent now. One that was noted before counts from now.
    pub fn note_sent(
        &mut self,
        ticket: u64,
        now: Micros,
    ) {
        self.sends
            .retain(|(known, at)| *known != ticket && is_counted(*at, now));
        self.sends.push_back((ticket, now));
    }

    /// Forgets a request that was not sent.
    pub fn note_unsent(
        &mut self,
        ticket: u64,
    ) {
        self.sends.retain(|(known, _)| *known != ticket);
    }
}

fn is_counted(
    at: Micros,
    now: Micros,
) -> bool {
    now.since(at) <= RATE_SPAN
}
