use {
    crate::front::{
        begin_lookup, common_software, record_origin, software_counts, FrontContext, FrontState,
        RequestHandler,
    },
    pitchhitch_core::{
        serving::{
            EndpointEntry, EndpointStatus, LookupAnswers, RetryPolicy, RouteKey, SoftwareTag,
            StreamId, StreamOrigin,
        },
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::collections::BTreeSet,
};

/// Longest wait for agents to say where a stream began, and the polling interval. They are a
/// millisecond or two away.
const LOOKUP_TIMEOUT: Micros = Micros::from_millis(100);
const LOOKUP_POLL_INTERVAL: Micros = Micros::from_millis(3);
/// Longest wait for the platform store to confirm the recorded software, while it answers calls.
const CONFIRM_TIMEOUT: Micros = Micros::from_millis(400);
/// Longest wait until software is recorded before a stream begins on it. A write takes some
/// milliseconds.
const RECORD_TIMEOUT: Micros = Micros::from_millis(150);
/// Age of the endpoint list up to which no software is missing in it.
const MAX_LIST_AGE: Micros = Micros::from_secs(1);

/// How the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginSource {
    /// A front has recorded or reported it.
    Recorded,
    /// All streams of the route have begun on the same software.
    SoleSoftware,
    /// It was not found.
    Unknown,
}

impl OriginSource {
    fn as_str(self) -> &'static str {
        match self {
            OriginSource::Recorded => "recorded",
            OriginSource::SoleSoftware => "sole-software",
            OriginSource::Unknown => "unknown",
        }
    }
}

impl RequestHandler<'_> {
    /// The stream that the request begins or continues. One that the caller does not name is known
    /// to nobody.
    fn stream_id(&self) -> StreamId {
        let first_attempt = self.info.continues.as_ref();
        let first_attempt = first_attempt.filter(|id| !id.is_empty());
        StreamId::of(first_attempt.unwrap_or(&self.info.request_id))
    }

    /// Finds the software that began the stream which the caller continues; false if it is unknown.
    pub(crate) async fn find_origin(&mut self) -> bool {
        if self.info.continues.is_none() || !self.route().is_stream {
            return true;
        }
        let started_at = self.front.now();
        let stream = self.stream_id();
        let (origin, source) = self.look_up_origin(stream).await;
        self.origin = origin;
        self.choose_origin_service();
        if let (Some(software), OriginSource::SoleSoftware) = (origin, source) {
            record_origin(self.front, StreamOrigin { stream, software });
        }
        self.log_origin(origin, source, started_at);
        self.front.metrics.increment("origins", source.as_str());
        origin.is_some()
    }

    fn log_origin(
        &self,
        origin: Option<SoftwareTag>,
        source: OriginSource,
        started_at: Micros,
    ) {
        let now = self.front.now();
        let state = self.front.state();
        let list_age = state.list_age(now);
        let software = software_counts(&state, &self.target_services());
        let versions: Vec<String> = software
            .iter()
            .map(|((service, version), count)| format!("{service}/{version}:{count}"))
            .collect();
        log::info!(
            event = "stream-origin",
            request = self.info.request_id.as_str(),
            continues = self.info.continues.as_deref().unwrap_or(""),
            service = self.service.as_str(),
            source = source.as_str(),
            software = origin.map_or_else(String::new, |tag| tag.to_string()).as_str(),
            listed = versions.join(",").as_str(),
            list_age_ms = list_age.map_or(-1, |age| age.as_millis() as i64),
            uptime_ms = now.as_millis(),
            waited_ms = now.since(started_at).as_millis();
            ""
        );
    }

    /// Services to which the route leads.
    fn target_services(&self) -> Vec<&str> {
        let targets = self.route().targets.iter();
        targets.map(|target| target.service.as_str()).collect()
    }

    async fn look_up_origin(
        &self,
        stream: StreamId,
    ) -> (Option<SoftwareTag>, OriginSource) {
        let front = self.front;
        let started_at = front.now();
        let origin = front.state().origins.get(stream);
        if origin.is_some() {
            return self.known_origin(origin, OriginSource::Recorded);
        }
        let route = RouteKey::of(self.route());
        begin_lookup(front, stream);
        request_confirmation(front, &route, started_at);
        let (recorded, answers) = loop {
            let (recorded, answers) = self.lookup_status(stream);
            let waited = front.now().since(started_at);
            let has_answers = answers.is_complete() || waited >= LOOKUP_TIMEOUT;
            let has_rows =
                self.is_confirmed(&route, started_at) || waited >= self.confirmation_wait();
            if recorded.is_some() || (has_answers && has_rows) {
                break (recorded, answers);
            }
            Timer::after(to_duration(LOOKUP_POLL_INTERVAL)).await;
        };
        front.state().origin_lookups.end(stream);
        if recorded.is_some() {
            return self.known_origin(recorded, OriginSource::Recorded);
        }
        let sole = self.sole_software(&route, answers, started_at);
        self.known_origin(sole, OriginSource::SoleSoftware)
    }

    /// What was found, unless the stream began on software that was unknown.
    fn known_origin(
        &self,
        origin: Option<SoftwareTag>,
        source: OriginSource,
    ) -> (Option<SoftwareTag>, OriginSource) {
        let services = self.target_services().into_iter();
        let unknown: Vec<SoftwareTag> = services.map(SoftwareTag::unknown).collect();
        let origin = origin.filter(|tag| !unknown.contains(tag));
        (origin, origin.map_or(OriginSource::Unknown, |_| source))
    }

    fn lookup_status(
        &self,
        stream: StreamId,
    ) -> (Option<SoftwareTag>, LookupAnswers) {
        let state = self.front.state();
        (
            state.origins.get(stream),
            state.origin_lookups.answers(stream),
        )
    }

    fn confirmation_wait(&self) -> Micros {
        match self.front.state().is_recording_stuck {
            true => LOOKUP_TIMEOUT,
            false => CONFIRM_TIMEOUT,
        }
    }

    fn is_confirmed(
        &self,
        route: &RouteKey,
        since: Micros,
    ) -> bool {
        let state = self.front.state();
        state.stream_software.is_confirmed(route, since)
    }

    /// The software on which each stream of the route has begun, if there is only one. What is listed
    /// now does not tell: the software that began the stream may have left.
    fn sole_software(
        &self,
        route: &RouteKey,
        answers: LookupAnswers,
        since: Micros,
    ) -> Option<SoftwareTag> {
        let front = self.front;
        let state = front.state();
        let rows = &state.stream_software;
        let sole = rows.sole_software(route);
        if sole.is_some() && rows.is_confirmed(route, since) {
            return sole;
        }
        if !rows.is_complete() {
            return None;
        }
        // Software that is not recorded yet would be listed, or agents that have been told of its
        // streams would know them; those that are listed since may have been told instead.
        let now = front.now();
        let are_unknown = answers.received > 0 && answers.is_complete();
        let is_recent = state.list_age(now).is_some_and(|age| age <= MAX_LIST_AGE);
        let is_current = !state.is_list_superseded(now) && (are_unknown || is_recent);
        let common = common_software(&state, &self.target_services());
        let is_consistent = |tag: &SoftwareTag| rows.is_empty() || sole == Some(*tag);
        common.filter(|tag| is_current && is_consistent(tag))
    }

    /// Waits until streams of the route may begin on the software of some endpoint that serves. While
    /// the platform store cannot record that, they begin anywhere. A route may become resumable while
    /// its streams run.
    pub(crate) async fn wait_for_software(&mut self) {
        let route = self.route();
        if self.origin.is_some() || !route.is_stream {
            return;
        }
        let front = self.front;
        let route = RouteKey::of(route);
        front.state().stream_software.record_use(&route);
        self.begun_route = Some(route.clone());
        let started_at = front.now();
        while !self.has_recorded_software(&route) {
            let is_stuck = front.state().is_recording_stuck;
            if is_stuck || front.now().since(started_at) >= RECORD_TIMEOUT {
                // Serving callers comes first; the origin is reported to agents all the same.
                front.state().is_recording_stuck = true;
                self.has_recorded_software(&route);
                front.metrics.increment("stream_software", "unrecorded");
                return;
            }
            front.software_row_due.wake();
            Timer::after(to_duration(LOOKUP_POLL_INTERVAL)).await;
        }
    }

    /// Whether some endpoint that serves has software on which streams of the route may begin, or none
    /// serves. Otherwise the software is to be recorded.
    fn has_recorded_software(
        &self,
        route: &RouteKey,
    ) -> bool {
        let mut guard = self.front.state();
        let state = &mut *guard;
        let mut has_recorded = false;
        let mut unrecorded = BTreeSet::new();
        let unknown = SoftwareTag::unknown(&self.service);
        for (_, entry) in state.registry.iter() {
            if entry.service != self.service || entry.status != EndpointStatus::Serving {
                continue;
            }
            let tag = SoftwareTag::of(entry);
            match state.stream_software.allows(route, tag) {
                true if !state.is_recording_stuck => return true,
                true => has_recorded = true,
                false => {
                    unrecorded.insert(tag);
                }
            }
        }
        let is_stuck = state.is_recording_stuck;
        if !is_stuck && unrecorded.len() > 1 {
            // Streams that begin on unknown software go on nowhere.
            unrecorded.remove(&unknown);
        }
        let software = &mut state.stream_software;
        for tag in &unrecorded {
            match is_stuck {
                true => software.record_early_use(route, *tag),
                false => {
                    software.want(route, *tag);
                }
            }
        }
        has_recorded || unrecorded.is_empty()
    }

    /// Whether the stream may begin on the software of an endpoint.
    pub(crate) fn may_begin_on(
        &self,
        state: &FrontState,
        entry: &EndpointEntry,
    ) -> bool {
        let rows = &state.stream_software;
        let allows = |route: &RouteKey| rows.allows(route, SoftwareTag::of(entry));
        let is_free = self.origin.is_some() || state.is_recording_stuck;
        is_free || self.begun_route.as_ref().is_none_or(allows)
    }

    /// Sends the request to the service that began the stream, if the route still leads there.
    fn choose_origin_service(&mut self) {
        if let Some(service) = self.origin_service() {
            self.service = service;
        }
    }

    fn origin_service(&self) -> Option<String> {
        let origin = self.origin?;
        let state = self.front.state();
        let mut entries = state.registry.iter().map(|(_, entry)| entry);
        let entry = entries.find(|entry| {
            let mut targets = self.route().targets.iter();
            let is_target = targets.any(|target| target.service == entry.service);
            is_target && SoftwareTag::known(entry) == Some(origin)
        });
        entry.map(|entry| entry.service.clone())
    }

    /// Origin of the stream, to be recorded once the engine has sent its first event. Only streams
    /// that may be resumed are continued.
    pub(crate) fn new_origin(&self) -> Option<StreamOrigin> {
        let is_new = self.origin.is_none() && self.route().retry == RetryPolicy::Resumable;
        let software = self.latest_run.software.filter(|_| is_new)?;
        let stream = self.stream_id();
        Some(StreamOrigin { stream, software })
    }

    /// Takes account of a restart of the endpoint since it was chosen: the software that answers is
    /// unknown.
    pub(crate) fn check_run_software(&mut self) {
        let (run, mut state) = (&mut self.latest_run, self.front.state());
        let entry = run.endpoint.and_then(|key| state.registry.get(key));
        let Some(entry) = entry.filter(|entry| entry.incarnation.ended != run.incarnation) else {
            return;
        };
        let unknown = SoftwareTag::unknown(&entry.service);
        run.software = Some(unknown);
        if let Some(route) = self.begun_route.as_ref().filter(|_| self.origin.is_none()) {
            state.stream_software.record_early_use(route, unknown);
            self.front.software_row_due.wake();
        }
    }
}

fn request_confirmation(
    front: &FrontContext,
    route: &RouteKey,
    now: Micros,
) {
    let mut state = front.state();
    let rows = &mut state.stream_software;
    rows.request_confirmation(route.clone(), now);
    front.software_row_due.wake();
}
