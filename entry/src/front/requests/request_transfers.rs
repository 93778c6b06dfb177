use {
    crate::front::{FrontState, RequestHandler},
    pitchhitch_core::{
        serving::{EndpointChoice, KvStore, PartLocation, PromptInfo},
        time::Micros,
    },
    pitchhitch_platform::{encode_request, ForwardHeaders, PartAddress, RunCopy},
    std::net::SocketAddr,
};

/// Network round trip, subtracted from the time limit that is sent to an endpoint.
const ROUND_TRIP_TIME: Micros = Micros::from_millis(4);

/// Parts that an engine fetches before, and saves after, the prefill of a request.
#[derive(Debug, Default)]
pub(crate) struct PartTransfers {
    fetch: Vec<Option<PartAddress>>,
    save: Vec<Option<PartAddress>>,
    pub(crate) fetch_until_ms: Option<u64>,
    /// Number of the claims of the parts to save.
    pub(crate) claims: Option<u64>,
    /// Saves that were not granted.
    pub(crate) unclaimed: usize,
    /// Wait for the answers to the claims.
    pub(crate) claim_wait: Micros,
}

impl PartTransfers {
    /// Store in which each part is saved.
    pub fn saves(&self) -> impl Iterator<Item = Option<SocketAddr>> + '_ {
        let saves = self.save.iter();
        saves.map(|save| save.as_ref().map(|save| save.address))
    }

    /// Retains the saves of the parts at the indexes for which `is_retained` is true.
    pub fn retain_saves(
        &mut self,
        is_retained: impl Fn(usize) -> bool,
    ) {
        for (index, save) in self.save.iter_mut().enumerate() {
            let removed = save.take_if(|_| !is_retained(index));
            self.unclaimed += usize::from(removed.is_some());
        }
    }
}

impl RequestHandler<'_> {
    /// The request in the form sent to the endpoint.
    pub(crate) fn encode(
        &self,
        choice: &EndpointChoice,
        transfers: &PartTransfers,
    ) -> Vec<u8> {
        let front = self.front;
        let now = front.now();
        let mut state = front.state();
        // If the version is unknown, nothing may be shared, not even with other requests of unknown
        // version; the request id makes the salt unique.
        let salt = match choice.version {
            Some(version) => self.cache_namespace(&mut state, version).salt(),
            None => self.info.request_id.clone(),
        };
        let entry = state.registry.get(choice.key);
        let organisation = self.organisation();
        let is_engine = self.info.prompt.is_some();
        let time_left = self.run_deadline().since(now);
        let headers = ForwardHeaders {
            endpoint_id: entry.map_or("", |entry| entry.id.as_str()),
            time_left: time_left.since(ROUND_TRIP_TIME).max(Micros::from_millis(1)),
            organisation: organisation.map(|organisation| organisation.name.as_str()),
            priority: is_engine.then(|| self.priority()),
            version: choice.version.filter(|_| is_engine),
            salt: Some(salt.as_str()).filter(|_| is_engine),
            fetch: &transfers.fetch,
            save: &transfers.save,
            fetch_until_ms: transfers.fetch_until_ms,
            last_event: self
                .progress
                .splitter
                .last_id()
                .filter(|_| self.progress.is_head_sent),
            run_copy: self.run_copy(),
        };
        encode_request(&self.request.head, &self.request.body, &headers)
    }

    /// Copy from which the engine resumes the run, if it has been moved.
    fn run_copy(&self) -> Option<RunCopy<'_>> {
        let active = self.moves.active.as_ref()?;
        let handle = active.handle.as_deref()?;
        active.machine.is_resuming().then_some(RunCopy {
            source: active.source.address,
            handle,
        })
    }

    /// The parts that the engine fetches before the prefill and saves after it; none if the request
    /// is not a prompt or the version of the weights is unknown.
    pub(crate) fn transfers_for(
        &self,
        choice: &EndpointChoice,
    ) -> PartTransfers {
        let now = self.front.now();
        let mut state = self.front.state();
        match (&self.info.prompt, choice.version) {
            (Some(prompt), Some(version)) => {
                self.plan_transfers(&mut state, prompt, choice, version, now)
            }
            _ => PartTransfers::default(),
        }
    }

    fn plan_transfers(
        &self,
        state: &mut FrontState,
        prompt: &PromptInfo,
        choice: &EndpointChoice,
        version: u64,
        now: Micros,
    ) -> PartTransfers {
        let salt = self.cache_namespace(state, version).salt();
        let namespace = state.namespace_tag(&salt);
        let mut transfers = PartTransfers::default();
        for part_plan in &choice.plan.parts {
            let Some((source, _)) = &part_plan.source else {
                transfers.fetch.push(None);
                continue;
            };
            let is_store = matches!(source.location, PartLocation::Store(_));
            let mut until = None;
            if let PartLocation::Store(store_index) = source.location {
                let view = state.kv_store_directory.view_at(store_index);
                until = view.and_then(|view| view.fetch_until_ms(now));
                if until.is_none() {
                    // Without a deadline, the engine could start the fetch at any later time.
                    transfers.fetch.push(None);
                    continue;
                }
            }
            transfers.fetch.push(Some(PartAddress {
                address: source.address,
                tokens: is_store.then_some(part_plan.part.tokens),
            }));
            transfers.fetch_until_ms = match (transfers.fetch_until_ms, until) {
                (Some(before), Some(until)) => Some(before.min(until)),
                (before, until) => until.or(before),
            };
        }
        transfers.fetch.resize(prompt.parts.len(), None);
        state.kv_store_directory.record_fetches(&choice.plan, now);
        let is_newest = state
            .planner
            .published_version(&prompt.model)
            .is_none_or(|published| version >= published);
        if is_newest {
            let may_store = |store: &KvStore| self.is_region_allowed(&store.domain);
            let saves =
                state
                    .kv_store_directory
                    .plan_saves(namespace, &prompt.parts, &may_store, now);
            transfers.claims = self.claim_saves(state, namespace, prompt, &saves, now);
            let address = |address| PartAddress {
                address,
                tokens: None,
            };
            transfers.save = saves.into_iter().map(|save| save.map(address)).collect();
            transfers.save.resize(prompt.parts.len(), None);
        }
        // Requests that arrive at this box meanwhile are sent to where these parts will be cached.
        let capacity = self
            .engine_config()
            .map_or(0, |config| config.capacity_tokens);
        if let Some(entry) = state.registry.get_mut(choice.key) {
            entry.parts.touch(namespace, &prompt.parts, capacity);
        }
        transfers
    }
}
