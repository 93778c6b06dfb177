use {
    super::{has_ended, RequestRun},
    pitchhitch_core::{
        serving::{EndpointChoice, FingerprintAsk, RequestFingerprint},
        time::Micros,
    },
};

/// When the latest run of a request was sent and began to answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunTimes {
    pub(super) sent_at: Micros,
    pub(super) began_at: Option<Micros>,
}

impl RequestRun<'_> {
    /// By what the request is known again.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let organisation = self.place.organisation;
        let organisation = organisation.map(|place| &self.config.organisations[place]);
        RequestFingerprint::of(&FingerprintAsk {
            method: &self.request.head.method,
            host: &self.ask.host,
            target: &self.request.head.target,
            caller: organisation.map_or("", |organisation| organisation.name.as_str()),
            body: &self.request.body,
        })
    }

    /// Notes that an endpoint broke the request off, and whether it ended then.
    pub(super) async fn note_lost(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let front = self.front;
        let lost_at = front.now();
        let has_ended = has_ended(front, choice.key, self.life).await;
        let fingerprint = self.fingerprint().to_string();
        let began = self
            .run
            .began_at
            .map(|at| lost_at.since(at).as_millis() as i64);
        let state = front.state();
        let entry = state.book.get(choice.key);
        log::info!(
            event = "run-lost",
            request = self.ask.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            ended = has_ended,
            sent_ms = lost_at.since(self.run.sent_at).as_millis(),
            begun_ms = began.unwrap_or(-1);
            ""
        );
        front
            .metrics
            .count("runs_lost", if has_ended { "ended" } else { "broken" });
    }
}
