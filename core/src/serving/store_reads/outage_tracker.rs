use crate::{serving::REWRITE_DELAY, time::Micros};

/// Time for which a read may be pending before it counts as unanswered.
const ANSWER_TIME: Micros = Micros::from_millis(300);
/// Part of the minimum length of an outage for which reads of this process must have failed. A single
/// failure after a time without reads says nothing about that time.
const MIN_FAILING_FRACTION: u64 = 3;

/// Detects outages of the platform store during which entries of a table may lapse although their
/// writers are alive.
///
/// A read that fails or is slow shows nothing of the store by itself: the cause may be this process,
/// its box or its link. An outage is a period without any answer to this process or another one, in
/// which reads of this process failed for a while and which is long enough for entries to lapse.
#[derive(Debug, Clone, Copy)]
pub struct OutageTracker {
    min_length: Micros,
    /// Send time of the newest read, by this process or another one, that the store answered.
    answered_at: Option<Micros>,
    /// Send time of this process's pending read.
    pending_at: Option<Micros>,
    /// Send time of this process's first read that failed since the newest answered one was sent.
    failing_since: Option<Micros>,
    /// Send time of this process's newest read that failed.
    failed_at: Option<Micros>,
    /// When the latest outage ended.
    ended_at: Option<Micros>,
}

impl OutageTracker {
    /// A tracker of outages that last `min_length` or longer.
    pub fn new(min_length: Micros) -> Self {
        OutageTracker {
            min_length,
            answered_at: None,
            pending_at: None,
            failing_since: None,
            failed_at: None,
            ended_at: None,
        }
    }

    /// Records that this process sends a read.
    pub fn record_sent(
        &mut self,
        now: Micros,
    ) {
        self.pending_at = Some(now);
    }

    /// Records that this process's read failed in a way that an outage may cause.
    pub fn record_failed(&mut self) {
        let failed_at = self.pending_at.take();
        if failed_at > self.answered_at {
            self.failing_since = self.failing_since.or(failed_at);
        }
        self.failed_at = self.failed_at.max(failed_at);
    }

    /// Records that this process's read was refused, or failed for a reason of this process.
    pub fn record_inconclusive(&mut self) {
        self.pending_at = None;
    }

    /// Records the answer to this process's read; returns the length of the outage that it ends.
    pub fn record_answered(
        &mut self,
        now: Micros,
    ) -> Option<Micros> {
        let sent_at = self.pending_at.take()?;
        self.advance(sent_at, now, now)
    }

    /// Records that the store answered a read that another process sent at `sent_at`, or somewhat
    /// later; returns the length of the outage that it ends.
    pub fn record_report(
        &mut self,
        sent_at: Micros,
        now: Micros,
    ) -> Option<Micros> {
        self.advance(sent_at, sent_at, now)
    }

    fn advance(
        &mut self,
        sent_at: Micros,
        answered_by: Micros,
        now: Micros,
    ) -> Option<Micros> {
        if self.answered_at >= Some(sent_at) {
            return None;
        }
        let previous = self.answered_at.replace(sent_at);
        let failing_since = self.failing_between(previous, sent_at);
        self.failing_since = self.failed_at.filter(|at| *at > sent_at);
        let failed_for = sent_at.since(failing_since?);
        // Without an earlier answer, the length is unknown.
        let Some(previous) = previous else {
            self.ended_at = Some(now);
            return Some(self.min_length);
        };
        let length = answered_by.since(previous);
        let min_failing = Micros(self.min_length.0 / MIN_FAILING_FRACTION);
        if length < self.min_length || failed_for < min_failing {
            return None;
        }
        self.ended_at = Some(now);
        Some(length)
    }

    /// Send time of this process's first read after `answered_at` that was unanswered at `time`.
    fn failing_between(
        &self,
        answered_at: Option<Micros>,
        time: Micros,
    ) -> Option<Micros> {
        let is_unanswered = |at: &Micros| *at + ANSWER_TIME <= time;
        let pending = self.pending_at.filter(is_unanswered);
        let failed = self.failing_since.filter(|at| *at <= time);
        let unanswered = pending.into_iter().chain(failed);
        unanswered.filter(|at| Some(*at) > answered_at).min()
    }

    /// Records that content older than the known one was read: entries written since are missing.
    pub fn record_older_content(
        &mut self,
        now: Micros,
    ) {
        self.ended_at = Some(now);
    }

    /// End of the time for which missing entries may have lapsed in the latest outage: their writers
    /// have written them again by then.
    pub fn doubt_until(&self) -> Option<Micros> {
        self.ended_at.map(|at| at + REWRITE_DELAY)
    }

    /// Send time of the newest read that the store answered.
    pub fn answered_at(&self) -> Option<Micros> {
        self.answered_at
    }
}
