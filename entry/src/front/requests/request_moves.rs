use {
    crate::front::{ActiveMove, ExchangeFailure, MoveEngine, RequestHandler, StreamRegistration},
    futures_lite::future::{or, pending},
    pitchhitch_core::{
        serving::{
            pick_target, EndpointChoice, EndpointKey, MoveAction, MoveCause, MoveEvent, MoveStep,
            NamedRun, PendingPrefill, ServingMechanism, TargetRequest,
        },
        time::Micros,
    },
    pitchhitch_http1::BodyFraming,
    pitchhitch_platform::CopyResponse,
    smol::Timer,
};

/// Maximum number of moves started for one request.
const MAX_MOVES_PER_REQUEST: u32 = 2;
/// Minimum number of events that a run has yet to produce. A shorter rest ends about as soon as a copy
/// and a resumption; a limit of 8 would exclude all long prompts with answers of 7 events.
const MIN_REMAINING_EVENTS: u64 = 4;
/// Minimum time left until the deadline.
const MIN_TIME_LEFT: Micros = Micros::from_millis(1_000);

/// Moves of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestMoves {
    pub registration: Option<StreamRegistration>,
    pub active: Option<ActiveMove>,
    /// Resumptions that an engine may have run; each counts as the same run.
    pub resumptions: u32,
    started: u32,
}

/// What the relay of a stream is interrupted for.
#[derive(Debug)]
pub(crate) enum MoveMail {
    /// The agent of an engine names the run.
    Named(EndpointKey, NamedRun),
    /// The pending call has ended.
    Reply(CopyResponse),
    /// The reply to the first call, or the close of the stream, is late.
    Overdue,
}

impl RequestMoves {
    /// Waits for the next message about a move.
    pub async fn next_mail(&self) -> MoveMail {
        let named = async {
            match (&self.registration, &self.active) {
                (Some(registration), None) => match registration.named.recv().await {
                    Ok((engine, run)) => MoveMail::Named(engine, run),
                    Err(_) => pending().await,
                },
                _ => pending().await,
            }
        };
        let reply = async {
            match &self.active {
                Some(active) if active.machine.is_call_pending() => {
                    MoveMail::Reply(active.reply().await)
                }
                _ => pending().await,
            }
        };
        let overdue = async {
            match self.active.as_ref().and_then(|active| active.due_at) {
                Some(due_at) => {
                    Timer::at(due_at).await;
                    MoveMail::Overdue
                }
                None => pending().await,
            }
        };
        or(or(named, reply), overdue).await
    }

    /// Whether a request to resume the run has been sent and not answered.
    pub fn is_resuming(&self) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|active| active.machine.is_resuming())
    }
}

impl RequestHandler<'_> {
    /// Maximum number of runs; one that is moved counts once.
    pub(crate) fn max_runs(&self) -> u32 {
        self.route().max_endpoints + self.moves.resumptions
    }

    /// Registers the stream, so that its run can be named. A stream that ends with its connection is
    /// not registered: one that is stopped would count as complete.
    pub(crate) fn register_stream(
        &mut self,
        framing: BodyFraming,
    ) {
        if framing == BodyFraming::UntilClose {
            self.moves.registration = None;
        } else if self.info.prompt.is_some() && self.moves.registration.is_none() {
            let registration = self.front.moves.register(&self.info.request_id);
            self.moves.registration = Some(registration);
        }
    }

    /// Handles a message about a move while the stream is relayed.
    ///
    /// # Errors
    /// If the run has stopped and its stream is still open: it counts as closed.
    pub(crate) fn handle_move_mail(
        &mut self,
        choice: &EndpointChoice,
        mail: MoveMail,
    ) -> Result<(), ExchangeFailure> {
        let step = match mail {
            MoveMail::Named(engine, run) if engine == choice.key => {
                if self.moves.started < MAX_MOVES_PER_REQUEST {
                    let outcome = self.start_move(choice, run);
                    self.front.metrics.increment("moves", outcome);
                }
                None
            }
            MoveMail::Named(..) => None,
            MoveMail::Reply(response) => {
                let active = self.moves.active.as_mut();
                active.map(|active| active.on_reply(self.front, response))
            }
            MoveMail::Overdue => {
                let active = self.moves.active.as_mut();
                if active.is_some_and(|active| active.machine.awaits_close()) {
                    return Err(ExchangeFailure::Lost);
                }
                self.notify_move(MoveEvent::CallLate)
            }
        };
        if step.is_some_and(|step| step.action == MoveAction::Continue) {
            self.end_move("not-copied");
        }
        Ok(())
    }

    /// Passes an event to the move in progress, if there is one.
    pub(crate) fn notify_move(
        &mut self,
        event: MoveEvent,
    ) -> Option<MoveStep> {
        let active = self.moves.active.as_mut()?;
        Some(active.on_event(self.front, event))
    }

    /// Starts to move the run if an engine has room for it; returns the outcome for the metrics.
    fn start_move(
        &mut self,
        choice: &EndpointChoice,
        run: NamedRun,
    ) -> &'static str {
        let front = self.front;
        let now = front.now();
        let (Some(prompt), Some(version)) = (&self.info.prompt, choice.version) else {
            return "not-movable";
        };
        let remaining = u64::from(prompt.tokens_out).saturating_sub(run.events);
        let splitter = &self.progress.splitter;
        let disabled = front.settings.disabled_mechanisms;
        let is_movable = !disabled.contains(ServingMechanism::Moves)
            && self.route().is_stream
            && self.progress.is_head_sent
            && splitter.last_id().is_some()
            && splitter.can_continue()
            && splitter.version().is_none_or(|stated| stated == version)
            && self.trial_allows_moves()
            && remaining >= MIN_REMAINING_EVENTS
            && self.deadline.since(now) >= MIN_TIME_LEFT;
        let is_swapped = run.cause != MoveCause::Swap || {
            let published = front.state().planner.published_version(&prompt.model);
            published.is_some_and(|published| published > version)
        };
        if !is_movable || !is_swapped {
            return "not-movable";
        }
        let tokens = run.tokens.saturating_add(remaining);
        let Some((source, target)) = self.pick_move(choice, version, tokens) else {
            return "no-target";
        };
        let Some(slot) = front.moves.try_acquire(choice.key) else {
            return "no-slot";
        };
        let ticket = self.reserve_run(target.key, tokens);
        self.moves.started += 1;
        let weights = (prompt.model.clone(), version);
        let active = ActiveMove::start(front, run, (source, target), weights, ticket, slot);
        self.moves.active = Some(active);
        "started"
    }

    /// The engine of the run and the one that is to receive it.
    fn pick_move(
        &self,
        choice: &EndpointChoice,
        version: u64,
        tokens: u64,
    ) -> Option<(MoveEngine, MoveEngine)> {
        let front = self.front;
        let now = front.now();
        let state = front.state();
        let source = state.registry.get(choice.key)?;
        let model = &self.info.prompt.as_ref()?.model;
        // A roll-out counts the runs at endpoints of each software version.
        if !state.rollouts.is_idle() || source.weights.version(model) != Some(version) {
            return None;
        }
        let has_slow_start = self.config.slow_start(&self.service).is_some();
        let request = TargetRequest {
            source: choice.key,
            request_id: &self.info.request_id,
            model,
            version,
            weights: self.weight_bounds(&state, now),
            tokens,
            is_eligible: &|entry| {
                state.is_available(entry, has_slow_start, now)
                    && self.is_region_allowed(&entry.domain)
            },
            estimator: self.estimator(&state),
            now,
        };
        let target = pick_target(&state.registry, &request)?;
        let entry = state.registry.get(target)?;
        Some((
            MoveEngine::new(choice.key, source),
            MoveEngine::new(target, entry),
        ))
    }

    /// Counts the run at an engine before it resumes there; returns its ticket.
    pub(crate) fn reserve_run(
        &self,
        engine: EndpointKey,
        tokens: u64,
    ) -> u64 {
        let mut state = self.front.state();
        let ticket = state.allocate_ticket();
        let prefill = PendingPrefill {
            ticket,
            tokens: 0,
            memory_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            priority: self.priority(),
            sent_at: self.front.now(),
        };
        state.registry.record_sent(engine, prefill);
        ticket
    }

    /// Logs the end of the move. A call that is still pending is awaited in the background.
    pub(crate) fn end_move(
        &mut self,
        outcome: &'static str,
    ) {
        let Some(mut active) = self.moves.active.take() else {
            return;
        };
        if let Some(registration) = &self.moves.registration {
            // Named before the move ended.
            let _ = registration.named.try_recv();
        }
        let front = self.front;
        let now = front.now();
        if !active.machine.is_ended() {
            active.on_event(front, MoveEvent::CallerGone);
        }
        if let Some(ticket) = active.ticket.take() {
            let mut state = front.state();
            state.registry.record_ended(active.target.key, ticket);
            state.registry.record_unsent(active.target.key, ticket);
        }
        let paused = active.stopped_at.map(|at| now.since(at).as_millis() as i64);
        log::info!(
            event = "move",
            request = active.run.request_id.as_str(),
            source = active.source.id.as_str(),
            target = active.target.id.as_str(),
            cause = active.run.cause.as_str(),
            tokens = active.run.tokens,
            events = active.run.events,
            outcome = outcome,
            paused_ms = paused.unwrap_or(-1),
            took_ms = now.since(active.started_at).as_millis();
            ""
        );
        front.metrics.increment("moves", outcome);
        front
            .metrics
            .record_time("move", now.since(active.started_at).0);
        if active.machine.is_call_pending() {
            front.spawn(active.clean_up());
        }
    }
}
