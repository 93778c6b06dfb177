use {
    super::{
        read_plain_answer, relay_stream, send_offer, within, write_to_caller, FrontContext,
        FrontState, OfferAnswer, OfferFailure, OpenOffer, RelayNews, StreamProgress, WholeAnswer,
        WholeRequest,
    },
    pitchhitch_core::{
        serving::{
            pick_endpoint, EndpointChoice, EndpointKey, EndpointStanding, EngineGroup, PartOutlook,
            PartPlace, PickAsk, PromptAsk, RefusalKind, RequestAsk, RequestPlace, ServedRoute,
            ServingConfig, UnreadWork, VersionOutlook, WallName,
        },
        time::Micros,
    },
    pitchhitch_http1::ByteLink,
    pitchhitch_platform::{decode_ask, encode_refusal, encode_request, PartAddress, SendOrder},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::rc::Rc,
};

/// Longest wait for a connection to an endpoint: a way takes a millisecond or
/// two, and nothing has been sent yet.
const OPEN_LIMIT: Micros = Micros::from_millis(250);
/// Taken off the time that an endpoint gets, for the way there and back.
const TRANSIT: Micros = Micros::from_millis(4);
/// Time that a caller waits where it does not say.
const USUAL_PATIENCE: Micros = Micros::from_secs(30);
/// Time after SIGTERM in which streams are taken: the platform allows for those
/// that come within three seconds.
const STREAM_TAKEN: Micros = Micros::from_millis(2_800);
/// Time before the end by force in which plain requests are not taken any more.
const PLAIN_END: Micros = Micros::from_millis(2_000);
/// The least urgent rank that engines know.
const LOWEST_RANK: u8 = 9;
/// Endpoints that may prove that they did not run a request, beyond those that
/// may run it.
const PROVEN_LIMIT: u32 = 2;

/// What becomes of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// One request on its way through the front.
struct RequestRun<'a> {
    front: &'a FrontContext,
    caller: &'a mut ByteLink,
    request: &'a WholeRequest,
    ask: RequestAsk,
    config: Rc<ServingConfig>,
    place: RequestPlace,
    service: String,
    ends_at: Micros,
    timer: Timer,
    tried: Vec<EndpointKey>,
    sends: u32,
    may_have_run: u32,
    progress: StreamProgress,
    began_at: Option<Micros>,
    asked_close: bool,
}

/// What a request makes an engine fetch and save.
#[derive(Debug, Default)]
struct PartMoves {
    fetch: Vec<Option<PartAddress>>,
    save: Vec<Option<PartAddress>>,
    until_ms: Option<u64>,
}

/// What one endpoint made of the request.
enum TryEnd {
    /// The caller has its answer, whole.
    Delivered(u16),
    /// The caller has gone.
    CallerGone,
    /// The endpoint proved that it did not run the request.
    NotRun,
    /// The endpoint answered with a failure of its own, whole.
    Failed(WholeAnswer),
    /// There is no answer that can be used.
    Broken(OfferFailure),
}

/// Serves one request.
pub(crate) async fn run_request(
    front: &FrontContext,
    caller: &mut ByteLink,
    request: WholeRequest,
) -> RequestEnd {
    let ask = decode_ask(&request.head);
    let admitted = admit(front, &ask);
    let closes = front.state().stops_since.is_some()
        || request.head.fields.has_word("connection", "close")
        || !request.head.is_current;
    let admitted = admitted.and_then(|admitted| refuse_if_stopping(front, admitted));
    let (config, place) = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => return refuse(front, caller, &ask, kind, closes, request.came_at, 0).await,
    };
    let route = &config.routes[place.route];
    let patience = ask.patience.unwrap_or(USUAL_PATIENCE);
    let ends_at = request.came_at + patience.min(route.time_limit);
    let spread = spread_number(&ask.request_id);
    let service = route.target(spread).unwrap_or_default().to_string();
    let left = ends_at.since(front.now());
    front.state().meter(&service).request(front.now());
    let mut run = RequestRun {
        front,
        caller,
        request: &request,
        service,
        ends_at,
        timer: Timer::after(to_duration(left)),
        tried: Vec::new(),
        sends: 0,
        may_have_run: 0,
        progress: StreamProgress::default(),
        began_at: None,
        asked_close: closes,
        ask,
        config: config.clone(),
        place,
    };
    run.serve().await
}

/// Finds route and organisation, if what is known is fresh enough to say so.
fn admit(
    front: &FrontContext,
    ask: &RequestAsk,
) -> Result<(Rc<ServingConfig>, RequestPlace), RefusalKind> {
    let state = front.state();
    let config = state.config.clone().ok_or(RefusalKind::NoConfig)?;
    if ask.request_id.is_empty() {
        return Err(RefusalKind::BadRequest);
    }
    let is_fresh = state.trust.holds(front.now());
    let place = config.place(ask).map_err(|kind| match is_fresh {
        true => kind,
        // A key or route that was added meanwhile may be meant.
        false => RefusalKind::StaleKeys,
    })?;
    if place.is_keyed && !is_fresh {
        return Err(RefusalKind::StaleKeys);
    }
    Ok((config, place))
}

/// A stopping process takes nothing that may not end before it has to.
fn refuse_if_stopping(
    front: &FrontContext,
    admitted: (Rc<ServingConfig>, RequestPlace),
) -> Result<(Rc<ServingConfig>, RequestPlace), RefusalKind> {
    let (config, place) = &admitted;
    let stops_since = front.state().stops_since;
    let limit = match config.routes[place.route].is_stream {
        true => STREAM_TAKEN,
        false => Micros(front.settings.stop_limit.as_micros() as u64).since(PLAIN_END),
    };
    match stops_since.is_some_and(|at| front.now().since(at) > limit) {
        true => Err(RefusalKind::Stopping),
        false => Ok(admitted),
    }
}

fn spread_number(request_id: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = request_id.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    hash ^ (hash >> 32)
}

async fn refuse(
    front: &FrontContext,
    caller: &ByteLink,
    ask: &RequestAsk,
    kind: RefusalKind,
    closes: bool,
    came_at: Micros,
    sends: u32,
) -> RequestEnd {
    let row = kind.row();
    let closes = closes || row.closes;
    let (version, key_age) = {
        let state = front.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        (version, state.trust.age(front.now()))
    };
    log::info!(
        event = "refused",
        request = ask.request_id.as_str(),
        kind = row.word,
        status = row.status,
        config = version,
        config_age_ms = key_age.map_or(-1, |age| age.as_millis() as i64),
        sends = sends,
        held_ms = front.now().since(came_at).as_millis();
        ""
    );
    front.metrics.count("refused", row.word);
    let answer = encode_refusal(kind, &row, &ask.request_id, closes);
    let is_written = within(OPEN_LIMIT, caller.write_all(&answer)).await;
    match (closes, is_written) {
        (false, Some(Ok(()))) => RequestEnd::Keep,
        _ => RequestEnd::Close,
    }
}

impl RequestRun<'_> {
    fn route(&self) -> &ServedRoute {
        &self.config.routes[self.place.route]
    }

    /// Whether the caller's connection ends with this request.
    fn closes(&self) -> bool {
        self.asked_close || self.front.state().stops_since.is_some()
    }

    async fn serve(&mut self) -> RequestEnd {
        let mut last_failure = RefusalKind::NoEndpoint;
        let mut held_answer: Option<WholeAnswer> = None;
        loop {
            if self.front.now() >= self.ends_at {
                last_failure = match self.may_have_run {
                    0 => RefusalKind::NeverSent,
                    _ => RefusalKind::TimedOut,
                };
                break;
            }
            if self.sends > 0 && !self.may_send_again() {
                break;
            }
            let Some(choice) = self.pick() else {
                break;
            };
            if self.is_too_late(&choice) {
                self.log_try(&choice, "too-late", "");
                last_failure = RefusalKind::Overloaded;
                break;
            }
            let Some(mut offer) = self.open(&choice).await else {
                self.tried.push(choice.key);
                continue;
            };
            let end = self.try_endpoint(&choice, &mut offer).await;
            self.give_back(&choice, offer);
            self.tried.push(choice.key);
            match end {
                TryEnd::Delivered(status) => return self.delivered(status),
                TryEnd::CallerGone => {
                    self.log_end("caller-gone", 0);
                    return RequestEnd::Close;
                }
                TryEnd::NotRun => {
                    last_failure = match self.may_have_run {
                        0 => RefusalKind::EndpointRefused,
                        _ => RefusalKind::EndpointLost,
                    };
                }
                TryEnd::Failed(answer) => {
                    if !self.can_repeat() {
                        return self.deliver_whole(answer).await;
                    }
                    held_answer = Some(answer);
                }
                TryEnd::Broken(failure) => {
                    last_failure = self.failure_kind(failure);
                    if failure == OfferFailure::Late || !self.can_repeat() {
                        break;
                    }
                }
            }
        }
        if self.progress.is_begun {
            // The caller must see that the stream is cut.
            self.log_end("cut", 0);
            return RequestEnd::Close;
        }
        if let Some(answer) = held_answer {
            return self.deliver_whole(answer).await;
        }
        let came_at = self.request.came_at;
        let closes = self.closes();
        refuse(
            self.front,
            self.caller,
            &self.ask,
            last_failure,
            closes,
            came_at,
            self.sends,
        )
        .await
    }

    fn failure_kind(
        &self,
        failure: OfferFailure,
    ) -> RefusalKind {
        match failure {
            OfferFailure::NotSent if self.may_have_run == 0 => RefusalKind::EndpointRefused,
            OfferFailure::Late if self.may_have_run == 0 => RefusalKind::NeverSent,
            OfferFailure::Late => RefusalKind::TimedOut,
            OfferFailure::Garbled => RefusalKind::BadAnswer,
            OfferFailure::NotSent | OfferFailure::Lost | OfferFailure::CallerGone => {
                RefusalKind::EndpointLost
            }
        }
    }

    /// Whether a request that may have run can run once more.
    fn can_repeat(&self) -> bool {
        let is_allowed = self.may_have_run == 0 || self.route().repeat.allows_second_run();
        is_allowed && self.may_have_run < self.route().max_endpoints
    }

    /// Takes a further send from the budget.
    fn may_send_again(&mut self) -> bool {
        if !self.can_repeat() || self.sends >= self.route().max_endpoints + PROVEN_LIMIT {
            return false;
        }
        let front = self.front;
        let mut state = front.state();
        let fronts = state.fronts;
        let meter = state.meter(&self.service);
        meter.take(&front.settings.repeats, fronts, front.now())
    }

    fn wall(
        &self,
        version: u64,
    ) -> WallName {
        let organisation = self
            .place
            .organisation
            .map(|place| &self.config.organisations[place]);
        let organisation = organisation.filter(|organisation| organisation.is_isolated);
        WallName {
            version,
            model: self
                .ask
                .prompt
                .as_ref()
                .map_or_else(String::new, |p| p.model.clone()),
            organisation: organisation.map(|organisation| organisation.name.clone()),
        }
    }

    /// Rank of the request: the organisation's goes before the route's.
    fn rank(&self) -> u8 {
        let organisation = self
            .place
            .organisation
            .map(|place| &self.config.organisations[place]);
        let rank = organisation.and_then(|organisation| organisation.priority);
        rank.unwrap_or(self.route().priority).min(LOWEST_RANK)
    }

    /// Whether an endpoint would begin with the request too late. The next best
    /// is not asked: it would read what this one keeps, and fall behind as well.
    fn is_too_late(
        &self,
        choice: &EndpointChoice,
    ) -> bool {
        let Some(prompt) = self.ask.prompt.as_ref().filter(|_| self.sends == 0) else {
            return false;
        };
        let route = self.route();
        let mut state = self.front.state();
        state.admission.note(&route.name, prompt.tokens_in);
        state.admission.refuses(&route.name, route.aim, choice)
    }

    fn group(&self) -> Option<&EngineGroup> {
        self.config.groups.get(&self.service)?.engine.as_ref()
    }

    fn pick(&mut self) -> Option<EndpointChoice> {
        let front = self.front;
        let mut guard = front.state();
        let state = &mut *guard;
        let now = front.now();
        let outlooks = self.outlooks(state, now);
        let ask = PickAsk {
            service: &self.service,
            domain: &front.settings.failure_domain,
            prompt: self.ask.prompt.as_ref(),
            rank: self.rank(),
            tried: &self.tried,
            now,
        };
        pick_endpoint(&state.book, &ask, &outlooks)
    }

    /// Where the parts of the prompt are kept, for each version that some
    /// engine has.
    fn outlooks(
        &self,
        state: &mut FrontState,
        now: Micros,
    ) -> Vec<VersionOutlook> {
        let (Some(prompt), Some(group)) = (&self.ask.prompt, self.group()) else {
            return Vec::new();
        };
        let versions = state
            .book
            .iter()
            .filter_map(|(_, e)| e.weights.version(&prompt.model));
        let mut versions: Vec<u64> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        let mut outlooks = Vec::new();
        for version in versions {
            let wall = state.wall(&self.wall(version).salt());
            let parts = state
                .memory
                .outlook(&state.book, group, wall, &prompt.parts, now);
            outlooks.push(VersionOutlook {
                version,
                wall,
                parts: self.allowed(state, version, parts, now),
            });
        }
        outlooks
    }

    /// Leaves stores out where they may be freeing parts of this version.
    fn allowed(
        &self,
        state: &FrontState,
        version: u64,
        mut parts: Vec<PartOutlook>,
        now: Micros,
    ) -> Vec<PartOutlook> {
        let model = self
            .ask
            .prompt
            .as_ref()
            .map_or("", |prompt| prompt.model.as_str());
        let proven_at = state.trust.proven_at();
        if !state.planner.may_fetch(model, version, proven_at, now) {
            for part in &mut parts {
                part.sources
                    .retain(|source| !matches!(source.place, PartPlace::Store(_)));
            }
        }
        parts
    }

    /// A connection to the endpoint, if it still may get requests then.
    async fn open(
        &mut self,
        choice: &EndpointChoice,
    ) -> Option<OpenOffer> {
        let front = self.front;
        let kept = front.state().pool.take(choice.key, front.now());
        let link = match kept {
            Some(link) => link,
            None => {
                let address = front.state().book.get(choice.key)?.address;
                front.metrics.count("links", "opened");
                match ByteLink::open(address, to_duration(OPEN_LIMIT)).await {
                    Ok(link) => link,
                    Err(error) => {
                        self.judge(choice, false);
                        self.log_try(choice, "no-connection", &error.to_string());
                        return None;
                    }
                }
            }
        };
        let state = front.state();
        let entry = state.book.get(choice.key)?;
        (entry.standing != EndpointStanding::Leaving).then(|| OpenOffer::new(link))
    }

    fn judge(
        &self,
        choice: &EndpointChoice,
        is_sound: bool,
    ) {
        let front = self.front;
        let mut state = front.state();
        if state.book.judged(choice.key, is_sound, front.now()) {
            let id = state
                .book
                .get(choice.key)
                .map_or("", |entry| entry.id.as_str());
            log::warn!(event = "endpoint-out", endpoint = id, cause = "failures"; "");
            front.metrics.count("endpoints", "out");
        }
    }

    async fn try_endpoint(
        &mut self,
        choice: &EndpointChoice,
        offer: &mut OpenOffer,
    ) -> TryEnd {
        let front = self.front;
        let bytes = self.encode(choice);
        let ticket = {
            let mut state = front.state();
            let ticket = state.ticket();
            let work = UnreadWork {
                ticket,
                tokens: choice.unread_tokens,
                rank: self.rank(),
                sent_at: front.now(),
            };
            state.book.sent(choice.key, work);
            ticket
        };
        self.sends += 1;
        self.log_try(choice, "sent", "");
        let request_id = self.ask.request_id.clone();
        let (answer, may_have_run) =
            send_offer(offer, &bytes, &request_id, self.caller, &mut self.timer).await;
        self.may_have_run += u32::from(may_have_run);
        let end = match answer {
            Ok(answer) => self.take_answer(choice, ticket, offer, answer).await,
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        };
        front.state().book.ended(choice.key, ticket);
        self.after_try(choice, &end);
        end
    }

    fn after_try(
        &mut self,
        choice: &EndpointChoice,
        end: &TryEnd,
    ) {
        match end {
            TryEnd::Delivered(_) => self.judge(choice, true),
            TryEnd::CallerGone => {}
            TryEnd::NotRun => self.log_try(choice, "not-run", ""),
            TryEnd::Failed(answer) => {
                self.judge(choice, false);
                self.log_try(choice, "failed", &answer.status.to_string());
            }
            TryEnd::Broken(failure) => {
                self.judge(choice, false);
                self.log_try(choice, "broken", &format!("{failure:?}"));
            }
        }
    }

    fn encode(
        &self,
        choice: &EndpointChoice,
    ) -> Vec<u8> {
        let front = self.front;
        let now = front.now();
        let mut guard = front.state();
        let state = &mut *guard;
        let moves = match (&self.ask.prompt, choice.version) {
            (Some(prompt), Some(version)) => self.plan_moves(state, prompt, choice, version, now),
            _ => PartMoves::default(),
        };
        let entry = state.book.get(choice.key);
        let organisation = self
            .place
            .organisation
            .map(|place| &self.config.organisations[place]);
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

    /// What the engine fetches before it reads, and saves once it has read.
    fn plan_moves(
        &self,
        state: &mut FrontState,
        prompt: &PromptAsk,
        choice: &EndpointChoice,
        version: u64,
        now: Micros,
    ) -> PartMoves {
        let wall = state.wall(&self.wall(version).salt());
        let mut moves = PartMoves::default();
        for fetch in &choice.plan.parts {
            let Some((source, _)) = &fetch.source else {
                moves.fetch.push(None);
                continue;
            };
            let is_store = matches!(source.place, PartPlace::Store(_));
            moves.fetch.push(Some(PartAddress {
                address: source.address,
                tokens: is_store.then_some(fetch.part.tokens),
            }));
            if let PartPlace::Store(place) = source.place {
                let view = state.memory.view_at(place);
                let until = view.and_then(|view| view.fetch_until_ms(now));
                moves.until_ms = match (moves.until_ms, until) {
                    (Some(before), Some(until)) => Some(before.min(until)),
                    (before, until) => until.or(before),
                };
            }
        }
        moves.fetch.resize(prompt.parts.len(), None);
        state.memory.fetching(&choice.plan, now);
        let is_newest = state
            .planner
            .named(&prompt.model)
            .is_none_or(|named| version >= named);
        if is_newest {
            let saves = state.memory.plan_saves(wall, &prompt.parts, now);
            let address = |address| PartAddress {
                address,
                tokens: None,
            };
            moves.save = saves.into_iter().map(|save| save.map(address)).collect();
            moves.save.resize(prompt.parts.len(), None);
        }
        // Others of this box that come meanwhile go where these parts will be.
        let capacity = self.group().map_or(0, |group| group.capacity_tokens);
        if let Some(entry) = state.book.get_mut(choice.key) {
            entry.parts.touch(wall, &prompt.parts, capacity);
        }
        moves
    }

    async fn take_answer(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        offer: &mut OpenOffer,
        answer: OfferAnswer,
    ) -> TryEnd {
        if let (Some(version), Some(prompt)) = (answer.marks.version, &self.ask.prompt) {
            self.learn_version(choice, &prompt.model.clone(), version);
        }
        if answer.marks.is_not_run {
            self.may_have_run -= 1;
            self.learn_refusal(choice, &answer);
            return self.pass_over(offer, &answer).await;
        }
        let is_success = (200..300).contains(&answer.head.status);
        let is_own = answer.marks.is_signed && !answer.marks.is_encoded;
        if is_success && !is_own {
            return TryEnd::Broken(OfferFailure::Garbled);
        }
        if is_success && self.route().is_stream {
            return self.take_stream(choice, ticket, offer, &answer).await;
        }
        if self.progress.is_begun {
            return TryEnd::Broken(OfferFailure::Lost);
        }
        let has_no_body = self.request.head.method == "HEAD";
        let closes = self.closes();
        let caller = &mut *self.caller;
        let whole =
            read_plain_answer(offer, &answer, has_no_body, closes, caller, &mut self.timer).await;
        match whole {
            Ok(whole) => {
                self.progress.closes = closes;
                self.keep_link(offer, &answer);
                if whole.status >= 500 {
                    return TryEnd::Failed(whole);
                }
                self.began_at = Some(self.front.now());
                match write_to_caller(self.caller, &whole.bytes, &mut self.timer).await {
                    true => TryEnd::Delivered(whole.status),
                    false => TryEnd::CallerGone,
                }
            }
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        }
    }

    async fn take_stream(
        &mut self,
        choice: &EndpointChoice,
        ticket: u64,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) -> TryEnd {
        let front = self.front;
        let mut began = None;
        let mut version = None;
        let mut tell = |news| match news {
            RelayNews::Begun => {
                began = Some(front.now());
                front.state().book.begun(choice.key, ticket);
            }
            RelayNews::Version(new) => version = Some(new),
        };
        self.progress.splitter.drop_rest();
        if !self.progress.is_begun {
            self.progress.closes = self.closes();
        }
        let caller = &mut *self.caller;
        let progress = &mut self.progress;
        let end = relay_stream(offer, answer, progress, caller, &mut self.timer, &mut tell).await;
        self.began_at = self.began_at.or(began);
        if let (Some(version), Some(prompt)) = (version, &self.ask.prompt) {
            self.learn_version(choice, &prompt.model.clone(), version);
        }
        match end {
            Ok(()) => {
                self.keep_link(offer, answer);
                TryEnd::Delivered(answer.head.status)
            }
            Err(OfferFailure::CallerGone) => TryEnd::CallerGone,
            Err(failure) => TryEnd::Broken(failure),
        }
    }

    fn learn_version(
        &self,
        choice: &EndpointChoice,
        model: &str,
        version: u64,
    ) {
        let mut state = self.front.state();
        let Some(entry) = state.book.get_mut(choice.key) else {
            return;
        };
        if entry.weights.learn(model, version) {
            // New weights drop what the engine kept.
            entry.parts.clear();
            log::info!(
                event = "weights-seen",
                endpoint = entry.id.as_str(),
                model = model,
                version = version,
                source = "answer";
                ""
            );
        }
    }

    fn learn_refusal(
        &self,
        choice: &EndpointChoice,
        answer: &OfferAnswer,
    ) {
        let mut state = self.front.state();
        let Some(entry) = state.book.get_mut(choice.key) else {
            return;
        };
        let other = answer
            .marks
            .endpoint_id
            .as_ref()
            .filter(|id| **id != entry.id);
        if let Some(other) = other.filter(|_| answer.marks.is_misdirected) {
            log::warn!(
                event = "endpoint-replaced",
                endpoint = entry.id.as_str(),
                by = other.as_str();
                ""
            );
            entry.standing = EndpointStanding::Leaving;
            state.pool.close_all(choice.key);
        }
    }

    async fn pass_over(
        &mut self,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) -> TryEnd {
        let mut body = Vec::new();
        let caller = &mut *self.caller;
        let rest = super::read_rest(
            offer,
            answer.framing,
            &mut body,
            usize::MAX,
            caller,
            &mut self.timer,
        );
        match rest.await {
            Ok(()) => self.keep_link(offer, answer),
            Err(OfferFailure::CallerGone) => return TryEnd::CallerGone,
            // The proof has come; only the connection is of no more use.
            Err(_) => {}
        }
        TryEnd::NotRun
    }

    /// Keeps the connection for the next request, where nothing is left on it.
    fn keep_link(
        &self,
        offer: &mut OpenOffer,
        answer: &OfferAnswer,
    ) {
        let is_over = offer.is_sent_whole && offer.link.unused().is_empty();
        let ends =
            answer.marks.closes || answer.framing == pitchhitch_http1::BodyFraming::UntilClose;
        if !is_over || ends {
            return;
        }
        offer.is_kept = true;
        offer.keeps_for = answer.marks.keeps_for;
    }

    /// Gives a connection that can take another request to the pool.
    fn give_back(
        &self,
        choice: &EndpointChoice,
        offer: OpenOffer,
    ) {
        let front = self.front;
        if offer.is_kept {
            let mut state = front.state();
            state
                .pool
                .put(choice.key, offer.link, offer.keeps_for, front.now());
        }
    }

    async fn deliver_whole(
        &mut self,
        answer: WholeAnswer,
    ) -> RequestEnd {
        match write_to_caller(self.caller, &answer.bytes, &mut self.timer).await {
            true => self.delivered(answer.status),
            false => RequestEnd::Close,
        }
    }

    fn delivered(
        &self,
        status: u16,
    ) -> RequestEnd {
        self.log_end("answered", status);
        match self.progress.closes || self.asked_close {
            true => RequestEnd::Close,
            false => RequestEnd::Keep,
        }
    }

    /// The shared parts and what becomes of them: kept, fetched or read.
    fn told_parts(
        &self,
        choice: &EndpointChoice,
    ) -> String {
        let parts = self
            .ask
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        let mut told = String::new();
        for (place, part) in parts[..parts.len().saturating_sub(1)].iter().enumerate() {
            let sign = match choice.plan.parts.get(place) {
                None => 'r',
                Some(fetch) if fetch.source.is_none() => 'k',
                Some(_) => 'f',
            };
            let comma = if place == 0 { "" } else { "," };
            told.push_str(&format!("{comma}{}:{sign}", part.id));
        }
        told
    }

    fn log_try(
        &self,
        choice: &EndpointChoice,
        outcome: &str,
        cause: &str,
    ) {
        let front = self.front;
        let state = front.state();
        let entry = state.book.get(choice.key);
        let now = front.now();
        let load = entry.and_then(|entry| entry.load.as_ref());
        log::info!(
            event = "try",
            request = self.ask.request_id.as_str(),
            endpoint = entry.map_or("", |entry| entry.id.as_str()),
            outcome = outcome,
            cause = cause,
            send = self.sends,
            estimate_ms = choice.wait_ms as u64,
            ahead_ms = choice.ahead_ms as u64,
            running = entry.map_or(0, |entry| entry.occupied(now)),
            waiting = choice.waiting,
            used = load.map_or(0, |load| load.used_tokens),
            unread = choice.unread_tokens,
            shared_unread = choice.shared_unread,
            kept = choice.plan.kept_tokens,
            fetched = choice.plan.fetched_tokens,
            fetch_ms = choice.plan.fetch_ms as u64,
            parts = self.told_parts(choice).as_str(),
            weights = choice.version.unwrap_or(0),
            of = choice.candidates,
            load_age_ms = load.map_or(-1, |load| now.since(load.at).as_millis() as i64);
            ""
        );
        front.metrics.count("tries", outcome);
    }

    fn log_end(
        &self,
        outcome: &str,
        status: u16,
    ) {
        let front = self.front;
        let now = front.now();
        let came_at = self.request.came_at;
        let first = self.began_at.map(|at| at.since(came_at));
        log::info!(
            event = "end",
            request = self.ask.request_id.as_str(),
            route = self.route().name.as_str(),
            outcome = outcome,
            status = status,
            sends = self.sends,
            first_ms = first.map_or(-1, |first| first.as_millis() as i64),
            took_ms = now.since(came_at).as_millis(),
            writes = self.progress.writes,
            config = self.config.version;
            ""
        );
        front.metrics.count("requests", outcome);
        front.metrics.time("took", now.since(came_at).0);
        if let Some(first) = first {
            front.metrics.time("first", first.0);
        }
    }
}
