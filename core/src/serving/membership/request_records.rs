//! What this front records about its own requests at an endpoint.

use {
    crate::serving::{EndpointKey, EndpointRegistry, PendingPrefill},
    crate::time::Micros,
};

impl EndpointRegistry {
    /// Records that a request was assigned to an endpoint.
    pub fn record_sent(
        &mut self,
        key: EndpointKey,
        prefill: PendingPrefill,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry
                .contact
                .record_sent(entry.running == 0, prefill.sent_at);
            entry.running += 1;
            self.watched.insert(key);
            entry
                .slow_start
                .record_sent(prefill.ticket, prefill.sent_at);
            entry.stated_limit.record_sent(prefill.sent_at);
            entry.rest.record_sent(prefill.sent_at);
            entry.pending_prefills.push(prefill);
        }
    }

    /// Records that a request is being written to an endpoint now, some time after it was assigned.
    pub fn record_written(
        &mut self,
        key: EndpointKey,
        ticket: u64,
        now: Micros,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slow_start.record_sent(ticket, now);
            entry.stated_limit.record_sent(now);
        }
    }

    /// Records that a request assigned to an endpoint was not sent there.
    pub fn record_unsent(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slow_start.record_unsent(ticket);
            entry.rest.record_unsent();
        }
    }

    /// Records that an endpoint has begun to answer a request.
    pub fn record_first_token(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry
                .pending_prefills
                .retain(|prefill| prefill.ticket != ticket);
        }
    }

    /// Records that a request has ended at an endpoint.
    pub fn record_ended(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        self.record_first_token(key, ticket);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Records the outcome of a request at an endpoint; true if this ejects the endpoint.
    pub fn record_outcome(
        &mut self,
        key: EndpointKey,
        is_success: bool,
        now: Micros,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if is_success {
            entry.answered_at = Some(now);
            entry.guard.record_success(now);
            return false;
        }
        entry.guard.record_failure(now)
    }
}
