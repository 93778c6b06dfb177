use {
    super::{
        admit, refuse, write_to_caller, FrontContext, LatestRun, OfferFailure, OwnRefusal,
        StreamProgress, TrialTurn, TryEnd, WholeAnswer, WholeRequest,
    },
    pitchhitch_core::{
        serving::{
            AdmissionDecision, EndpointKey, Organisation, RefusalKind, RequestFingerprint,
            RequestInfo, ResolvedRequest, ServedRoute, ServingConfig,
        },
        time::Micros,
    },
    pitchhitch_http1::ByteLink,
    pitchhitch_platform::decode_ask,
    pitchhitch_process::{to_duration, DeadlineTimer},
    smol::Timer,
    std::rc::Rc,
};

/// Time that a caller waits where it does not say.
pub(super) const USUAL_PATIENCE: Micros = Micros::from_secs(30);
/// Endpoints that may prove that they did not run a request, beyond those that
/// may run it.
const PROVEN_LIMIT: u32 = 2;

/// Longest wait for stores to answer after a standstill, and the pause between
/// two looks: a store answers within some milliseconds, unless the box is busy.
const SETTLE_LIMIT: Micros = Micros::from_millis(150);
const SETTLE_PAUSE: Micros = Micros::from_millis(10);

/// What becomes of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// One request on its way through the front.
pub(super) struct RequestRun<'a> {
    pub(super) front: &'a FrontContext,
    pub(super) caller: &'a mut ByteLink,
    pub(super) request: &'a WholeRequest,
    pub(super) ask: RequestInfo,
    pub(super) config: Rc<ServingConfig>,
    pub(super) place: ResolvedRequest,
    pub(super) service: String,
    pub(super) spread: u64,
    pub(super) ends_at: Micros,
    pub(super) timer: DeadlineTimer,
    pub(super) tried: Vec<EndpointKey>,
    /// The latest run.
    pub(super) run: LatestRun,
    /// Fingerprint, once it was asked for.
    pub(super) known_as: Option<RequestFingerprint>,
    /// Endpoints that ended under the request, where that makes it a suspect.
    pub(super) trial: Option<u32>,
    pub(super) sends: u32,
    pub(super) may_have_run: u32,
    pub(super) progress: StreamProgress,
    pub(super) began_at: Option<Micros>,
    pub(super) asked_close: bool,
}

/// Serves one request.
pub(crate) async fn run_request(
    front: &FrontContext,
    caller: &mut ByteLink,
    request: WholeRequest,
) -> RequestEnd {
    let ask = decode_ask(&request.head);
    let admitted = admit(front, &ask);
    let closes = front.state().stopping_since.is_some()
        || request.head.fields.has_word("connection", "close")
        || !request.head.is_current;
    let (config, place) = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => {
            let refusal = OwnRefusal {
                kind,
                come_back: None,
                closes,
                came_at: request.came_at,
                sends: 0,
            };
            return refuse(front, caller, &ask, refusal).await;
        }
    };
    let route = &config.routes[place.route];
    let patience = ask.time_left.unwrap_or(USUAL_PATIENCE);
    let ends_at = request.came_at + patience.min(route.time_limit);
    let spread = spread_number(&ask.request_id);
    let service = route.target(spread).unwrap_or_default().to_string();
    let left = ends_at.since(front.now());
    front
        .state()
        .retry_window(&service)
        .record_request(front.now());
    let mut run = RequestRun {
        front,
        caller,
        request: &request,
        service,
        spread,
        ends_at,
        timer: DeadlineTimer::after(front.clock, to_duration(left)),
        tried: Vec::new(),
        run: LatestRun::default(),
        known_as: None,
        trial: None,
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

pub(super) fn spread_number(request_id: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = request_id.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    hash ^ (hash >> 32)
}

impl RequestRun<'_> {
    pub(super) fn route(&self) -> &ServedRoute {
        &self.config.routes[self.place.route]
    }

    /// The organisation, where the request has one.
    pub(super) fn organisation(&self) -> Option<&Organisation> {
        let place = self.place.organisation?;
        Some(&self.config.organisations[place])
    }

    /// Whether the caller's connection ends with this request.
    pub(super) fn closes(&self) -> bool {
        self.asked_close || self.front.state().stopping_since.is_some()
    }

    /// After a standstill all requests of that time come at once; where stores
    /// are about to answer, prompts wait a moment for that instead of reading
    /// what is kept there. A front that has just started waits to be told of suspects.
    async fn settle(&self) {
        let is_prompt = self.ask.prompt.is_some();
        let from = self.front.now();
        loop {
            let now = self.front.now();
            let waits_for_stores = {
                let state = self.front.state();
                is_prompt && now.since(from) < SETTLE_LIMIT && state.is_recovering(now)
            };
            if !waits_for_stores && !self.front.state().awaits_suspects(now) {
                return;
            }
            Timer::after(to_duration(SETTLE_PAUSE)).await;
        }
    }

    pub(super) async fn serve(&mut self) -> RequestEnd {
        self.settle().await;
        let mut last_failure = RefusalKind::NoEndpoint;
        let mut held_answer: Option<WholeAnswer> = None;
        let mut come_back = None;
        loop {
            if self.front.now() >= self.ends_at {
                last_failure = match self.may_have_run {
                    0 => RefusalKind::NeverSent,
                    _ => RefusalKind::TimedOut,
                };
                break;
            }
            match self.wait_for_turn().await {
                TrialTurn::Free => {}
                TrialTurn::Refused(kind, back) => {
                    last_failure = match self.may_have_run {
                        0 => kind,
                        _ => RefusalKind::EndpointLost,
                    };
                    come_back = Some(back).filter(|_| self.may_have_run == 0);
                    break;
                }
                TrialTurn::CallerGone => {
                    self.log_end("caller-gone", 0);
                    return RequestEnd::Close;
                }
            }
            // A repeat is taken from the budget only where somebody can get it.
            let Some(choice) = self.pick() else {
                if self.sends > 0 {
                    break;
                }
                come_back = self.slow_start_back();
                if come_back.is_some() {
                    last_failure = RefusalKind::Overloaded;
                }
                break;
            };
            if self.sends > 0 && !self.may_send_again() {
                break;
            }
            let verdict = self.judge_admission(&choice);
            if verdict != AdmissionDecision::Admitted {
                self.log_try(&choice, verdict.as_str(), "");
                last_failure = RefusalKind::Overloaded;
                come_back = Some(self.come_back(&choice));
                break;
            }
            let place = self.reserve(&choice);
            let Some(mut offer) = self.open(&choice).await else {
                self.release(&choice, &place);
                self.tried.push(choice.key);
                continue;
            };
            let end = self.try_endpoint(&choice, &place, &mut offer).await;
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
                    if failure == OfferFailure::Lost {
                        self.note_lost(&choice).await;
                    }
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
            OwnRefusal {
                kind: last_failure,
                come_back,
                closes,
                came_at,
                sends: self.sends,
            },
        )
        .await
    }

    pub(super) fn failure_kind(
        &self,
        failure: OfferFailure,
    ) -> RefusalKind {
        match failure {
            OfferFailure::NotSent if self.may_have_run == 0 => RefusalKind::EndpointRefused,
            OfferFailure::Late if self.may_have_run == 0 => RefusalKind::NeverSent,
            OfferFailure::Late => RefusalKind::TimedOut,
            OfferFailure::Garbled => RefusalKind::BadAnswer,
            OfferFailure::NotSent
            | OfferFailure::Lost
            | OfferFailure::Overdue
            | OfferFailure::CallerGone => RefusalKind::EndpointLost,
        }
    }

    /// Whether a request that may have run can run once more.
    pub(super) fn can_repeat(&self) -> bool {
        let is_allowed = self.may_have_run == 0 || self.route().retry.allows_rerun();
        is_allowed && self.may_have_run < self.route().max_endpoints
    }

    /// Takes a further send from the budget.
    pub(super) fn may_send_again(&mut self) -> bool {
        if !self.can_repeat() || self.sends >= self.route().max_endpoints + PROVEN_LIMIT {
            return false;
        }
        let front = self.front;
        let mut state = front.state();
        let fronts = state.fronts;
        let meter = state.retry_window(&self.service);
        let now = front.now();
        // The clock starts with the process.
        let lived = now;
        meter.try_acquire(&front.settings.retry_limit, fronts, lived, now)
    }

    pub(super) async fn deliver_whole(
        &mut self,
        answer: WholeAnswer,
    ) -> RequestEnd {
        match write_to_caller(self.caller, &answer.bytes, &mut self.timer).await {
            true => self.delivered(answer.status),
            false => RequestEnd::Close,
        }
    }

    pub(super) fn delivered(
        &self,
        status: u16,
    ) -> RequestEnd {
        self.log_end("answered", status);
        match self.progress.closes || self.asked_close {
            true => RequestEnd::Close,
            false => RequestEnd::Keep,
        }
    }
}
