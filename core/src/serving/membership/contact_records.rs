//! What this box hears of endpoints that run its requests.

use {
    crate::serving::{
        ContactStage, EndpointEntry, EndpointKey, EndpointRegistry, EndpointStatus, ProbeOutcome,
    },
    crate::time::Micros,
};

/// Time before the start of a probe within which another endpoint must have been heard.
const OTHERS_HEARD_WITHIN: Micros = Micros::from_millis(500);

impl EndpointRegistry {
    /// Records that an endpoint has sent something; returns the silence that this ends if it did not
    /// respond.
    pub fn record_heard(
        &mut self,
        key: EndpointKey,
        now: Micros,
    ) -> Option<Micros> {
        self.entries.get_mut(key)?.contact.record_heard(now)
    }

    /// Excludes a time during which this process did not listen from the silence of all endpoints.
    pub fn exclude_silence(
        &mut self,
        gap: Micros,
        now: Micros,
    ) {
        for entry in self.entries.values_mut() {
            entry.contact.exclude(gap, now);
        }
    }

    /// Endpoints to be probed now: they run requests of this box, or do not respond, and have been
    /// silent. Their probes count as started.
    pub fn take_due_probes(
        &mut self,
        has_engine: impl Fn(&EndpointEntry) -> bool,
        now: Micros,
    ) -> Vec<EndpointKey> {
        let mut due = Vec::new();
        let entries = &mut self.entries;
        self.watched.retain(|key| {
            let Some(entry) = entries.get_mut(*key) else {
                return false;
            };
            let is_unresponsive = entry.contact.stage() != ContactStage::Responding;
            // One that is leaving may be listed again.
            let may_return = is_unresponsive && entry.status != EndpointStatus::Leaving;
            let is_probed = entry.running > 0 || may_return;
            if is_probed && entry.contact.take_due_probe(has_engine(entry), now) {
                due.push(*key);
            }
            entry.running > 0 || is_unresponsive
        });
        due
    }

    /// Whether an endpoint other than `key` has been heard about since `started_at`.
    pub fn hears_others(
        &self,
        key: EndpointKey,
        started_at: Micros,
    ) -> bool {
        let heard_since = Micros(started_at.0.saturating_sub(OTHERS_HEARD_WITHIN.0));
        let mut others = self.entries.iter().filter(|(other, _)| *other != key);
        others.any(|(_, other)| other.contact.was_heard_since(heard_since))
    }

    /// Whether another endpoint of the same service may receive requests.
    pub fn has_alternative(
        &self,
        key: EndpointKey,
        now: Micros,
    ) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let mut others = self.entries.iter().filter(|(other, _)| *other != key);
        others.any(|(_, other)| {
            other.service == entry.service
                && other.status != EndpointStatus::Leaving
                && other.contact.stage() == ContactStage::Responding
                && !other.may_be_unreachable(now)
        })
    }

    /// Another endpoint, whose response to a probe shows that this box is connected: of the same
    /// service if possible.
    pub fn control_endpoint(
        &self,
        key: EndpointKey,
    ) -> Option<EndpointKey> {
        let service = &self.entries.get(key)?.service;
        let others = self.iter().filter(|(other, entry)| {
            let is_responding = entry.contact.stage() == ContactStage::Responding;
            *other != key && is_responding && entry.status != EndpointStatus::Leaving
        });
        let control = others.max_by_key(|(_, entry)| entry.service == *service);
        control.map(|(other, _)| other)
    }

    /// Endpoints that do not respond and run requests of this box.
    pub fn unresponsive_endpoints(&self) -> impl Iterator<Item = (EndpointKey, ContactStage)> + '_ {
        let watched = self.watched.iter();
        let entries = watched.filter_map(|key| Some((*key, self.entries.get(*key)?)));
        let busy = entries.filter(|(_, entry)| entry.running > 0);
        let stages = busy.map(|(key, entry)| (key, entry.contact.stage()));
        stages.filter(|(_, stage)| *stage != ContactStage::Responding)
    }

    /// Records the outcome of a probe that was started at `started_at`; returns the new stage if
    /// requests at the endpoint must be notified.
    pub fn record_contact_probe(
        &mut self,
        key: EndpointKey,
        outcome: ProbeOutcome,
        started_at: Micros,
        now: Micros,
    ) -> Option<ContactStage> {
        let hears_others = self.hears_others(key, started_at);
        let entry = self.entries.get_mut(key)?;
        entry.contact.record_probe(outcome, hears_others, now)
    }
}
