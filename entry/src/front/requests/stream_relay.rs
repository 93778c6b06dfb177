use {
    crate::front::{
        wait_for_endpoint, write_to_caller, AttemptTimer, EndpointExchange, EndpointResponse,
        EventSplitter, ExchangeFailure, MoveMail, RequestMoves, WakeReason, WitnessConnection,
    },
    futures_lite::future::or,
    pitchhitch_core::serving::EndProof,
    pitchhitch_http1::{write_chunk, BodyDecoder, BodyFraming, TcpConnection, LAST_CHUNK},
    pitchhitch_platform::{encode_response_head, BodyLength},
    std::time::{Duration, Instant},
};

/// The caller's side of one stream, across all endpoints that send parts of it.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Splits the stream into events.
    pub splitter: EventSplitter,
    /// Framing of the latest response of an endpoint.
    pub framing: Option<BodyFraming>,
    /// On what grounds the end of the latest response was judged.
    pub end_proof: Option<EndProof>,
    /// Whether the head of the response has been sent to the caller.
    pub is_head_sent: bool,
    /// Whether the connection to the caller is closed after the stream.
    pub closes: bool,
    /// Number of writes to the caller.
    pub writes: u32,
    /// When events were last sent to the caller.
    pub written_at: Option<Instant>,
    /// Longest time between two writes.
    pub longest_gap: Duration,
}

/// What the relay reports about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEvent {
    /// Events have arrived.
    Events,
    /// The first events have arrived.
    FirstEvent,
    /// The version of the weights changed during the stream.
    VersionChanged(u64),
}

/// The engine's side of one stream.
#[derive(Debug)]
pub(crate) struct EndpointStream<'a> {
    exchange: &'a mut EndpointExchange,
    response: &'a EndpointResponse,
    decoder: BodyDecoder,
    is_first: bool,
    witness: Option<WitnessConnection>,
}

impl<'a> EndpointStream<'a> {
    /// A stream of which only the head has been read.
    pub fn new(
        exchange: &'a mut EndpointExchange,
        response: &'a EndpointResponse,
        witness: Option<WitnessConnection>,
    ) -> Self {
        EndpointStream {
            exchange,
            response,
            decoder: BodyDecoder::new(response.framing),
            is_first: true,
            witness,
        }
    }

    /// The witness, if it was open when the stream was read last.
    pub fn take_witness(&mut self) -> Option<WitnessConnection> {
        self.witness.take()
    }

    /// Whether a stream whose body has ended was truncated: it ends inside an event, or with its
    /// connection before the first one. Only its framing says that the rest of a stream is empty: a
    /// process that is running may have broken it off.
    fn is_truncated(
        &self,
        splitter: &EventSplitter,
    ) -> bool {
        let framing = self.response.framing;
        let is_empty = self.is_first && splitter.partial_event().is_empty();
        let is_unanswered = is_empty && framing == BodyFraming::UntilClose;
        // A body of unstated type that has a length is whole.
        let has_length = matches!(framing, BodyFraming::Length(_));
        let is_event_stream = self.response.info.is_event_stream.unwrap_or(!has_length);
        is_event_stream && (is_unanswered || splitter.is_inside_event())
    }

    /// How a stream whose body has ended is to be judged.
    fn end(
        &self,
        splitter: &EventSplitter,
    ) -> Result<RelayEnd, ExchangeFailure> {
        match (self.is_truncated(splitter), self.response.framing) {
            (true, _) => Err(ExchangeFailure::Lost),
            (false, BodyFraming::UntilClose) => Ok(RelayEnd::Unproven),
            (false, _) => Ok(RelayEnd::Complete),
        }
    }

    /// Sends what the caller lacks of a stream that has proven complete.
    pub async fn send_end(
        &self,
        progress: &mut StreamProgress,
        caller: &mut TcpConnection,
        timer: &mut AttemptTimer,
    ) -> Result<(), ExchangeFailure> {
        let rest = progress.splitter.partial_event().to_vec();
        forward_events(&rest, true, self.response, progress, caller, timer).await
    }
}

/// Why the relay of a stream returns.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The stream has ended with its connection; its last chunk waits for a proof that it is complete.
    Unproven,
    /// A message about a move of the run has arrived; the relay goes on after it.
    Mail(MoveMail),
}

/// Relays a stream to the caller, event by event, until it ends or its run is to be moved.
///
/// Partial events are sent only if they are too long to be buffered: a stream that ends inside an
/// event has been truncated, however its body is framed. When the first events arrive, the timer is
/// set to the `time_left` of the request.
pub(crate) async fn relay_stream(
    stream: &mut EndpointStream<'_>,
    progress: &mut StreamProgress,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
    moves: &RequestMoves,
    time_left: &dyn Fn() -> Duration,
    on_event: &mut dyn FnMut(RelayEvent),
) -> Result<RelayEnd, ExchangeFailure> {
    let mut decoded = Vec::new();
    loop {
        decoded.clear();
        let connection = &mut stream.exchange.connection;
        let consumed = stream.decoder.decode(connection.buffer(), &mut decoded);
        connection.consume(consumed.map_err(|_| ExchangeFailure::Garbled)?);
        let previous_version = progress.splitter.version();
        let mut events = progress.splitter.feed(&decoded);
        if let Some(version) = progress
            .splitter
            .version()
            .filter(|v| Some(*v) != previous_version)
        {
            on_event(RelayEvent::VersionChanged(version));
        }
        if !events.is_empty() {
            on_event(RelayEvent::Events);
        }
        if stream.is_first && !events.is_empty() {
            stream.is_first = false;
            timer.set_after(time_left());
            on_event(RelayEvent::FirstEvent);
        }
        let end = stream
            .decoder
            .is_done()
            .then(|| stream.end(&progress.splitter));
        let is_complete = matches!(end, Some(Ok(RelayEnd::Complete)));
        if is_complete {
            events.extend_from_slice(progress.splitter.partial_event());
        }
        if !events.is_empty() || is_complete {
            let response = stream.response;
            forward_events(&events, is_complete, response, progress, caller, timer).await?;
        }
        if let Some(end) = end {
            return end;
        }
        let mail = async { Err(moves.next_mail().await) };
        let wake = async {
            Ok(wait_for_endpoint(&stream.exchange.connection, false, caller, timer).await)
        };
        let wake = match or(wake, mail).await {
            Ok(wake) => wake,
            Err(mail) => return Ok(RelayEnd::Mail(mail)),
        };
        match wake {
            WakeReason::TimedOut => return Err(ExchangeFailure::Late),
            WakeReason::EndpointUnresponsive => return Err(ExchangeFailure::Unresponsive),
            WakeReason::CallerGone => return Err(ExchangeFailure::CallerGone),
            WakeReason::EndpointReadable | WakeReason::EndpointWritable => {}
        }
        match stream.exchange.connection.try_read() {
            Ok(Some(0)) if stream.decoder.close() => {}
            Ok(Some(0)) | Err(_) => return Err(ExchangeFailure::Lost),
            // Endpoints close connections that are idle for long.
            Ok(_) => drop(stream.witness.take_if(|witness| !witness.is_open())),
        }
    }
}

async fn forward_events(
    events: &[u8],
    is_last: bool,
    response: &EndpointResponse,
    progress: &mut StreamProgress,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<(), ExchangeFailure> {
    let mut out = Vec::with_capacity(events.len() + 32);
    if !progress.is_head_sent {
        progress.is_head_sent = true;
        out = encode_response_head(&response.head, BodyLength::Chunked, progress.closes);
    }
    write_chunk(&mut out, events);
    if is_last {
        out.extend_from_slice(LAST_CHUNK);
    }
    progress.writes += 1;
    if !events.is_empty() {
        let now = Instant::now();
        if let Some(previous) = progress.written_at.replace(now) {
            progress.longest_gap = progress.longest_gap.max(now - previous);
        }
    }
    match write_to_caller(caller, &out, timer).await {
        true => Ok(()),
        false => Err(ExchangeFailure::CallerGone),
    }
}
