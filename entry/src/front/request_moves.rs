use {
    super::{FrontState, RequestRun},
    pitchhitch_core::{
        serving::{EndpointChoice, KvStore, PartLocation, PromptInfo},
        time::Micros,
    },
    pitchhitch_platform::{encode_request, PartAddress, SendOrder},
};

/// Taken off the time that an endpoint gets, for the way there and back.
const TRANSIT: Micros = Micros::from_millis(4);

/// What a request makes an engine fetch and save.
#[derive(Debug, Default)]
pub(super) struct PartMoves {
    fetch: Vec<Option<PartAddress>>,
    save: Vec<Option<PartAddress>>,
    pub(super) until_ms: Option<u64>,
}

impl RequestRun<'_> {
    /// The request as the endpoint gets it.
    pub(super) fn encode(
        &self,
        choice: &EndpointChoice,
        moves: &PartMoves,
    ) -> Vec<u8> {
        let front = self.front;
        let now = front.now();
        let state = front.state();
        let entry = state.registry.get(choice.key);
        let organisation = self.organisation();
        let is_engine = self.ask.prompt.is_some();
        // Without a known version nothing may be shared: not even with others
        // of which no more is known.
        let salt = match choice.version {
            Some(version) => self.wall(version).salt(),
            None => self.ask.request_id.clone(),
        };
        let left = self.ends_at.since(now);
        let order = SendOrder {
            endpoint_id: entry.map_or("", |entry| entry.id.as_str()),
            patience: left.since(TRANSIT).max(Micros::from_millis(1)),
            organisation: organisation.map(|organisation| organisation.name.as_str()),
            priority: is_engine.then(|| self.rank()),
            version: choice.version.filter(|_| is_engine),
            salt: Some(salt.as_str()).filter(|_| is_engine),
            fetch: &moves.fetch,
            save: &moves.save,
            fetch_until_ms: moves.until_ms,
            last_event: self
                .progress
                .splitter
                .last_id()
                .filter(|_| self.progress.is_begun),
        };
        encode_request(&self.request.head, &self.request.body, &order)
    }

    /// What the engine fetches before it reads, and saves once it has read; nothing
    /// for what is no prompt, or for weights that are not known.
    pub(super) fn moves_for(
        &self,
        choice: &EndpointChoice,
    ) -> PartMoves {
        let now = self.front.now();
        let mut state = self.front.state();
        match (&self.ask.prompt, choice.version) {
            (Some(prompt), Some(version)) => {
                self.plan_moves(&mut state, prompt, choice, version, now)
            }
            _ => PartMoves::default(),
        }
    }

    fn plan_moves(
        &self,
        state: &mut FrontState,
        prompt: &PromptInfo,
        choice: &EndpointChoice,
        version: u64,
        now: Micros,
    ) -> PartMoves {
        let wall = state.namespace_tag(&self.wall(version).salt());
        let mut moves = PartMoves::default();
        for fetch in &choice.plan.parts {
            let Some((source, _)) = &fetch.source else {
                moves.fetch.push(None);
                continue;
            };
            let is_store = matches!(source.location, PartLocation::Store(_));
            let mut until = None;
            if let PartLocation::Store(place) = source.location {
                let view = state.store_directory.view_at(place);
                until = view.and_then(|view| view.fetch_until_ms(now));
                if until.is_none() {
                    // Without a time it would be fetched whenever its turn comes.
                    moves.fetch.push(None);
                    continue;
                }
            }
            moves.fetch.push(Some(PartAddress {
                address: source.address,
                tokens: is_store.then_some(fetch.part.tokens),
            }));
            moves.until_ms = match (moves.until_ms, until) {
                (Some(before), Some(until)) => Some(before.min(until)),
                (before, until) => until.or(before),
            };
        }
        moves.fetch.resize(prompt.parts.len(), None);
        state.store_directory.record_fetches(&choice.plan, now);
        let is_newest = state
            .planner
            .published_version(&prompt.model)
            .is_none_or(|named| version >= named);
        if is_newest {
            let may_keep = |store: &KvStore| self.may_lie_in(&store.domain);
            let saves = state
                .store_directory
                .plan_saves(wall, &prompt.parts, &may_keep, now);
            let address = |address| PartAddress {
                address,
                tokens: None,
            };
            moves.save = saves.into_iter().map(|save| save.map(address)).collect();
            moves.save.resize(prompt.parts.len(), None);
        }
        // Others of this box that come meanwhile go where these parts will be.
        let capacity = self.group().map_or(0, |group| group.capacity_tokens);
        if let Some(entry) = state.registry.get_mut(choice.key) {
            entry.parts.touch(wall, &prompt.parts, capacity);
        }
        moves
    }
}
