use {
    crate::front::{
        admit, refuse, AttemptTimer, FrontContext, LatestRun, ReceivedRequest, RequestEntry,
        RequestMoves, RequestRefusal, RequestStage, RequestTrial, StreamProgress,
        WitnessConnection, MAX_PIPELINED_BYTES,
    },
    pitchhitch_core::{
        serving::{
            EndpointKey, Organisation, RequestFingerprint, RequestInfo, ResolvedRequest, RouteKey,
            ServedRoute, ServingConfig, SoftwareTag,
        },
        time::Micros,
    },
    pitchhitch_http1::TcpConnection,
    pitchhitch_platform::decode_request_info,
    pitchhitch_process::to_duration,
    std::rc::Rc,
};

/// How long a caller waits if it does not state a timeout.
pub(crate) const DEFAULT_CALLER_TIMEOUT: Micros = Micros::from_secs(30);

/// Whether the caller's connection can be used for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// It stays open for the next request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// The state of one request while the front serves it.
pub(crate) struct RequestHandler<'a> {
    pub(crate) front: &'a FrontContext,
    pub(crate) caller: &'a mut TcpConnection,
    pub(crate) request: &'a ReceivedRequest,
    pub(crate) entry: &'a RequestEntry,
    pub(crate) info: RequestInfo,
    pub(crate) config: Rc<ServingConfig>,
    pub(crate) resolved: ResolvedRequest,
    pub(crate) service: String,
    /// Hash of the request id; spreads requests over services and retries over time.
    pub(crate) id_hash: u64,
    pub(crate) deadline: Micros,
    /// When it had been read to its end.
    pub(crate) read_at: Micros,
    pub(crate) timer: AttemptTimer,
    /// Endpoints that were tried already.
    pub(crate) tried: Vec<EndpointKey>,
    /// Whether it has left an endpoint that did not respond.
    pub(crate) has_left_endpoint: bool,
    /// Software that began the stream, once the caller has events of it; no other continues it.
    pub(crate) origin: Option<SoftwareTag>,
    /// Route of a stream, if the software on which it begins is recorded.
    pub(crate) begun_route: Option<RouteKey>,
    /// A witness of the latest run, if its answer may end with its connection.
    pub(crate) witness: Option<WitnessConnection>,
    /// The latest run at an endpoint.
    pub(crate) latest_run: LatestRun,
    /// Fingerprint, once it has been computed.
    pub(crate) cached_fingerprint: Option<RequestFingerprint>,
    /// How it is tried, if it or a part of its prompt is suspected of crashing endpoints.
    pub(crate) trial: Option<RequestTrial>,
    /// Whether the chosen endpoint is one on which a roll-out compares versions.
    pub(crate) is_comparison: bool,
    /// Whether such an endpoint could not take the request.
    pub(crate) declines_comparison: bool,
    /// How often the request was sent to endpoints.
    pub(crate) sends: u32,
    /// Number of sends after which the endpoint may have run the request.
    pub(crate) possible_runs: u32,
    pub(crate) progress: StreamProgress,
    /// Moves of its run to other engines.
    pub(crate) moves: RequestMoves,
    pub(crate) response_started_at: Option<Micros>,
    pub(crate) close_requested: bool,
}

/// Serves one request.
pub(crate) async fn handle_request(
    front: &FrontContext,
    caller: &mut TcpConnection,
    request: ReceivedRequest,
    entry: &RequestEntry,
) -> ConnectionReuse {
    let info = decode_request_info(&request.head);
    let admitted = admit(front, &info);
    let closes = front.state().stopping_since.is_some()
        || request.head.fields.has_token("connection", "close")
        || !request.head.is_http11;
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => {
            let refusal = RequestRefusal {
                kind,
                retry_after: None,
                closes,
                arrived_at: request.arrived_at,
                sends: 0,
                decision: None,
            };
            entry.set_stage(RequestStage::Begun);
            return refuse(front, caller, &info, refusal).await;
        }
    };
    let mut handler = RequestHandler::new(front, caller, (&request, entry), info, admitted, closes);
    front
        .state()
        .retry_window(&handler.service)
        .record_request(front.now());
    handler.serve().await
}

/// 64-bit FNV-1a hash, with the high half folded into the low half.
pub(crate) fn fnv1a_hash(text: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    hash ^ (hash >> 32)
}

impl<'a> RequestHandler<'a> {
    /// State of a request that was admitted with this configuration and resolution.
    fn new(
        front: &'a FrontContext,
        caller: &'a mut TcpConnection,
        (request, entry): (&'a ReceivedRequest, &'a RequestEntry),
        info: RequestInfo,
        (config, resolved): (Rc<ServingConfig>, ResolvedRequest),
        close_requested: bool,
    ) -> Self {
        let route = &config.routes[resolved.route];
        let caller_timeout = info.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let deadline = request.arrived_at + caller_timeout.min(route.time_limit);
        let id_hash = fnv1a_hash(&info.request_id);
        let service = route.target(id_hash).unwrap_or_default().to_string();
        let time_left = deadline.since(front.now());
        RequestHandler {
            front,
            caller,
            request,
            entry,
            service,
            id_hash,
            deadline,
            read_at: front.now(),
            timer: AttemptTimer::after(front.clock, to_duration(time_left), entry.watch()),
            tried: Vec::new(),
            has_left_endpoint: false,
            origin: None,
            begun_route: None,
            witness: None,
            latest_run: LatestRun::default(),
            cached_fingerprint: None,
            trial: None,
            is_comparison: false,
            declines_comparison: false,
            sends: 0,
            possible_runs: 0,
            progress: StreamProgress::default(),
            moves: RequestMoves::default(),
            response_started_at: None,
            close_requested,
            info,
            config,
            resolved,
        }
    }
}

impl RequestHandler<'_> {
    pub(crate) fn route(&self) -> &ServedRoute {
        &self.config.routes[self.resolved.route]
    }

    /// The organisation that sent the request, if any.
    pub(crate) fn organisation(&self) -> Option<&Organisation> {
        let index = self.resolved.organisation?;
        Some(&self.config.organisations[index])
    }

    /// When the request must have ended. A stopping process ends it before it exits.
    pub(crate) fn deadline(&self) -> Micros {
        let stop_limit =
            self.front
                .stop_window
                .get()
                .map(|window| match self.progress.is_head_sent {
                    true => window.ends_by,
                    false => window.answers_by,
                });
        stop_limit.map_or(self.deadline, |limit| limit.min(self.deadline))
    }

    /// When its endpoint may stop. A stream that begins in time goes on for as long as the process runs.
    pub(crate) fn run_deadline(&self) -> Micros {
        match self.route().is_stream {
            true => self.deadline,
            false => self.deadline(),
        }
    }

    /// Whether the stop of the process leaves the request no time.
    pub(crate) fn is_stopped(&self) -> bool {
        let limit = self.deadline();
        limit < self.deadline && self.front.now() >= limit
    }

    /// Records how far the request has come; once the caller has a part of the response, it has begun.
    pub(crate) fn set_stage(
        &self,
        stage: RequestStage,
    ) {
        let has_begun = self.progress.is_head_sent;
        self.entry.set_stage(match has_begun {
            true => RequestStage::Begun,
            false => stage,
        });
    }

    /// Whether the caller's connection is closed after this request.
    pub(crate) fn closes(&self) -> bool {
        self.close_requested || self.front.state().stopping_since.is_some()
    }

    /// Whether the caller has closed its connection. A busy front may read a request after that; an
    /// endpoint would run it for nobody.
    pub(crate) fn is_caller_gone(&mut self) -> bool {
        let has_capacity = self.caller.buffer().len() < MAX_PIPELINED_BYTES;
        has_capacity && matches!(self.caller.try_read(), Ok(Some(0)) | Err(_))
    }
}
