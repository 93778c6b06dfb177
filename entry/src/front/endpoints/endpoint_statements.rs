use {
    crate::front::{handle_endpoint_changes, RequestHandler},
    pitchhitch_core::{
        serving::{EndpointChange, EndpointChoice, EndpointEntry, StatedLimit},
        time::Micros,
    },
    pitchhitch_platform::ResponseInfo,
};

impl RequestHandler<'_> {
    /// Records what the endpoint states about itself in its response to a request that was sent at
    /// `sent_at`: a limit on its requests, that it refuses them, that it is leaving.
    pub(crate) fn record_statements(
        &self,
        choice: &EndpointChoice,
        sent_at: Micros,
        info: &ResponseInfo,
    ) {
        let front = self.front;
        let mut state = front.state();
        if info.is_misdirected || !self.is_same_incarnation(&state, choice) {
            return;
        }
        let fronts = state.sharing_fronts();
        let Some(entry) = state.registry.get_mut(choice.key) else {
            return;
        };
        self.record_limit(entry, sent_at, info, fronts);
        self.record_rest(entry, sent_at, info);
        if info.is_leaving && self.record_leave(entry) {
            let change = EndpointChange::Leaves(entry.id.clone());
            drop(state);
            handle_endpoint_changes(front, &[change]);
        }
    }

    fn record_limit(
        &self,
        entry: &mut EndpointEntry,
        sent_at: Micros,
        info: &ResponseInfo,
        fronts: u32,
    ) {
        let limit = info.request_limit;
        let box_id = &self.front.settings.box_id;
        let first_delay = limit.map_or(0.0, |_| StatedLimit::first_delay(box_id, &entry.id));
        let now = self.front.now();
        if entry.stated_limit.record(limit, first_delay, sent_at, now) {
            log::info!(
                event = "endpoint-limit",
                request = self.info.request_id.as_str(),
                endpoint = entry.id.as_str(),
                per_second = limit.unwrap_or(-1.0),
                fronts = fronts;
                ""
            );
        }
    }

    fn record_rest(
        &self,
        entry: &mut EndpointEntry,
        sent_at: Micros,
        info: &ResponseInfo,
    ) {
        let now = self.front.now();
        let begun = match info.rest {
            Some(duration) => entry.rest.begin(duration, now).then_some(duration),
            None if info.is_not_run => entry.rest.record_refused(sent_at, now),
            None => {
                entry.rest.record_served(sent_at);
                None
            }
        };
        if let Some(duration) = begun {
            log::info!(
                event = "endpoint-rest",
                request = self.info.request_id.as_str(),
                endpoint = entry.id.as_str(),
                rest_ms = duration.as_millis(),
                stated = info.rest.is_some();
                ""
            );
        }
    }

    /// Records that the endpoint is leaving; true if this changes its status.
    fn record_leave(
        &self,
        entry: &mut EndpointEntry,
    ) -> bool {
        if !entry.states_leaving {
            log::info!(
                event = "endpoint-leaving",
                request = self.info.request_id.as_str(),
                endpoint = entry.id.as_str();
                ""
            );
        }
        entry.record_stated_leave()
    }
}
