use {
    crate::front::{
        make_endpoint_room, AttemptOutcome, EndpointExchange, ExchangeFailure, RequestHandler,
        ReservedSlot,
    },
    futures_lite::future::{or, poll_fn},
    pitchhitch_core::{
        serving::{EndpointChoice, MoveAction, MoveEvent, ResumeSite},
        time::Micros,
    },
    pitchhitch_http1::TcpConnection,
    pitchhitch_process::to_duration,
};

/// Connect timeout of a resumption; the caller waits for the next event.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(120);

impl RequestHandler<'_> {
    /// Makes an attempt at an endpoint and, if the run is moved meanwhile, at the engines at which
    /// it resumes. Returns the endpoint to which the outcome applies.
    pub(crate) async fn attempt_with_moves(
        &mut self,
        choice: EndpointChoice,
        slot: ReservedSlot,
        mut exchange: EndpointExchange,
    ) -> (EndpointChoice, AttemptOutcome) {
        let outcome = self.attempt(&choice, &slot, &mut exchange).await;
        self.return_connection(&choice, exchange);
        let (mut choice, mut outcome) = (choice, outcome);
        while let AttemptOutcome::Moved(site) = outcome {
            (choice, outcome) = self.attempt_resumption(choice, site).await;
        }
        self.end_move("abandoned");
        (choice, outcome)
    }

    /// Outcome of a stream that broke, with a move in progress or not.
    pub(crate) async fn handle_broken_stream(
        &mut self,
        mut failure: ExchangeFailure,
    ) -> AttemptOutcome {
        let event = match failure {
            ExchangeFailure::Lost => MoveEvent::StreamClosed,
            ExchangeFailure::CallerGone => MoveEvent::CallerGone,
            // An engine that does not respond has not stopped the run: a copy must not resume.
            _ => MoveEvent::DeadlinePassed,
        };
        let mut step = self.notify_move(event);
        loop {
            let is_pending = self.moves.active.as_ref();
            let is_pending = is_pending.is_some_and(|active| active.machine.is_call_pending());
            match step.map(|step| step.action) {
                Some(MoveAction::Resume(site)) => return AttemptOutcome::Moved(site),
                Some(MoveAction::Wait) if is_pending => {}
                Some(_) => {
                    self.end_move(match event {
                        _ if failure == ExchangeFailure::Late => "late",
                        MoveEvent::StreamClosed => "source-lost",
                        MoveEvent::CallerGone => "caller-gone",
                        _ => "late",
                    });
                    break;
                }
                None => break,
            }
            let Some(active) = self.moves.active.as_mut() else {
                break;
            };
            let timer = &mut self.timer;
            let ended = async {
                poll_fn(|context| timer.poll_time(context)).await;
                None
            };
            step = Some(
                match or(async { Some(active.reply().await) }, ended).await {
                    Some(response) => active.on_reply(self.front, response),
                    None => {
                        failure = ExchangeFailure::Late;
                        active.on_event(self.front, MoveEvent::DeadlinePassed)
                    }
                },
            );
        }
        match failure {
            ExchangeFailure::CallerGone => AttemptOutcome::CallerGone,
            failure => AttemptOutcome::Broken(failure),
        }
    }

    /// Records that an engine has begun to answer the resumed run.
    pub(crate) fn confirm_resumption(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let active = self.moves.active.as_ref();
        let Some(is_moved) = active.map(|active| active.target.key == choice.key) else {
            return;
        };
        self.notify_move(MoveEvent::Resumed);
        self.end_move(if is_moved { "moved" } else { "returned" });
    }

    async fn attempt_resumption(
        &mut self,
        choice: EndpointChoice,
        site: ResumeSite,
    ) -> (EndpointChoice, AttemptOutcome) {
        let Some(active) = self.moves.active.as_mut() else {
            return (choice, AttemptOutcome::Broken(ExchangeFailure::Lost));
        };
        let engine = active.engine(site).clone();
        let tokens = active.run.tokens;
        let reserved = active.ticket.take_if(|_| site == ResumeSite::Target);
        let previous_run = self.latest_run.clone();
        let ticket = reserved.unwrap_or_else(|| self.reserve_run(engine.key, tokens));
        self.begin_run(engine.key);
        let resumed = EndpointChoice {
            key: engine.key,
            version: choice.version,
            candidates: 1,
            ..EndpointChoice::default()
        };
        let slot = ReservedSlot::for_resumption(ticket);
        self.front.metrics.increment("links", "opened");
        // A pooled connection that the engine has just closed would leave open whether the request
        // arrived.
        make_endpoint_room(self.front);
        let connection = TcpConnection::connect(engine.address, to_duration(CONNECT_TIMEOUT)).await;
        let has_left = self.is_caller_gone();
        let previous_runs = self.possible_runs;
        let outcome = match connection {
            _ if has_left => {
                self.release(&resumed, &slot);
                AttemptOutcome::CallerGone
            }
            Ok(connection) => {
                let mut exchange = EndpointExchange::new(connection);
                let outcome = self.attempt(&resumed, &slot, &mut exchange).await;
                self.return_connection(&resumed, exchange);
                outcome
            }
            Err(_) => {
                self.release(&resumed, &slot);
                AttemptOutcome::NotRun
            }
        };
        self.moves.resumptions += self.possible_runs - previous_runs;
        // The resumed run may have been moved again: then the move in progress is another one.
        if matches!(outcome, AttemptOutcome::Moved(_)) || !self.moves.is_resuming() {
            return (resumed, outcome);
        }
        let event = match &outcome {
            AttemptOutcome::NotRun | AttemptOutcome::Broken(ExchangeFailure::NotSent) => {
                MoveEvent::ResumeRefused
            }
            AttemptOutcome::CallerGone => MoveEvent::CallerGone,
            AttemptOutcome::Broken(ExchangeFailure::Late) => MoveEvent::DeadlinePassed,
            _ => MoveEvent::ResumeLost,
        };
        if event == MoveEvent::ResumeLost {
            // As any other run that an engine has interrupted.
            self.notify_move(event);
            self.end_move("lost");
            return (resumed, AttemptOutcome::Broken(ExchangeFailure::Lost));
        }
        self.latest_run = previous_run;
        let step = self.notify_move(event);
        match (step.map(|step| step.action), event) {
            (Some(MoveAction::Resume(next)), _) => (choice, AttemptOutcome::Moved(next)),
            (_, MoveEvent::CallerGone) => {
                self.end_move("caller-gone");
                (choice, AttemptOutcome::CallerGone)
            }
            (_, MoveEvent::DeadlinePassed) => {
                self.end_move("late");
                (choice, AttemptOutcome::Broken(ExchangeFailure::Late))
            }
            _ => {
                self.end_move("lost");
                (choice, AttemptOutcome::Broken(ExchangeFailure::Lost))
            }
        }
    }
}
