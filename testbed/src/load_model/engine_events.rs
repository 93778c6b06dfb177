use {
    super::{
        load_sim::millis, AttemptKey, EngineIncarnation, EngineRun, LoadSim, RequestKey, SimEvent,
        StepEvent, NAMESPACE,
    },
    pitchhitch_core::{
        serving::{EngineLoad, PartId, PromptPart},
        time::Micros,
    },
};

/// Delay after which a front learns from its closed connection that an engine has stopped.
const LOSS_DETECTION_DELAY: Micros = Micros::from_millis(5);

impl LoadSim<'_> {
    /// An attempt arrives at its engine, which starts the planned fetches.
    pub(super) fn on_attempt(
        &mut self,
        attempt: AttemptKey,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        let Some(engine) = self.engine_of(attempt) else {
            return;
        };
        if self.engines[engine].is_down {
            self.report_loss(attempt);
            return;
        }
        let fetched_at = self.start_fetches(attempt, engine);
        self.engines[engine].unready += 1;
        let first = millis(self.load.engines.first_ms);
        let ready_event = SimEvent::PrefillReady(attempt, self.incarnation_of(engine));
        self.queue.push(fetched_at + first, ready_event);
    }

    fn engine_of(
        &self,
        attempt: AttemptKey,
    ) -> Option<usize> {
        let routed = self.states[attempt.request.0].routed.as_ref();
        routed.map(|routed| routed.engine)
    }

    fn incarnation_of(
        &self,
        engine: usize,
    ) -> EngineIncarnation {
        let incarnation = self.engines[engine].incarnation;
        EngineIncarnation {
            engine,
            incarnation,
        }
    }

    fn report_loss(
        &mut self,
        attempt: AttemptKey,
    ) {
        self.states[attempt.request.0].is_lost = true;
        self.queue.push(
            self.now + LOSS_DETECTION_DELAY,
            SimEvent::AttemptLost(attempt),
        );
    }

    /// A request's fetches have finished: it queues for prefill.
    pub(super) fn on_prefill_ready(
        &mut self,
        attempt: AttemptKey,
        incarnation: EngineIncarnation,
    ) {
        let engine = incarnation.engine;
        if self.incarnation_of(engine) != incarnation {
            return;
        }
        self.engines[engine].unready -= 1;
        if !self.is_current(attempt) {
            return;
        }
        let request = &self.requests[attempt.request.0];
        let run = EngineRun {
            key: attempt,
            priority: self.load.kinds[request.kind].rank,
            arrival: 0,
            parts: request.parts.clone(),
            output_tokens: request.tokens_out,
            generated: 0,
            pinned_parts: 0,
            private_tokens: 0,
            prefill_tokens: 0,
            step_tokens: 0,
            sent_at: None,
            longest_pause: Micros::ZERO,
        };
        if self.engines[engine].enqueue(run) {
            self.step(engine);
        } else {
            self.report_loss(attempt);
        }
    }

    /// Begins a step, unless one is running or there is nothing to do.
    fn step(
        &mut self,
        engine: usize,
    ) {
        let mut events = Vec::new();
        let took = self.engines[engine].begin_step(&mut events);
        if let Some(took) = took {
            let step_end = SimEvent::StepEnded(self.incarnation_of(engine));
            self.queue.push(self.now + took, step_end);
        }
        self.handle_step_events(engine, events);
    }

    /// Ends a step and begins the next one.
    pub(super) fn on_step_ended(
        &mut self,
        incarnation: EngineIncarnation,
    ) {
        let engine = incarnation.engine;
        if self.incarnation_of(engine) != incarnation {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].end_step(self.now, &mut events);
        self.handle_step_events(engine, events);
        self.step(engine);
    }

    fn handle_step_events(
        &mut self,
        engine: usize,
        events: Vec<StepEvent>,
    ) {
        for event in events {
            match event {
                StepEvent::FirstToken(attempt) => {
                    self.notify_front(engine, attempt, SimEvent::FirstToken(attempt))
                }
                StepEvent::Finished(attempt, pause) => {
                    self.notify_front(engine, attempt, SimEvent::ResponseEnded(attempt, pause));
                }
                StepEvent::SharedPrefilled(part) => self.count_repeated_prefill(part),
                StepEvent::Prefilled(attempt) => self.on_prefilled(attempt),
                StepEvent::Preempted => self.tally.preemptions += 1,
            }
        }
    }

    /// Counts the tokens of a shared part that is prefilled although an engine used it recently.
    fn count_repeated_prefill(
        &mut self,
        part: PromptPart,
    ) {
        let within = millis(self.load.again_s * 1e3);
        let last_used_at = self.last_used_at.get(&part.id);
        if last_used_at.is_some_and(|at| self.now.since(*at) < within) {
            self.tally.prefilled_again += u64::from(part.tokens);
        }
    }

    /// All parts of a prompt are in the memory of its engine.
    fn on_prefilled(
        &mut self,
        attempt: AttemptKey,
    ) {
        for part in self.requests[attempt.request.0].shared() {
            self.last_used_at.insert(part.id, self.now);
        }
        self.start_saves(attempt);
    }

    fn notify_front(
        &mut self,
        engine: usize,
        attempt: AttemptKey,
        event: SimEvent,
    ) {
        let hop = self.hop(self.states[attempt.request.0].front, engine);
        self.queue.push(self.now + hop, event);
    }

    /// Samples an engine's load and cache changes; fronts receive them later.
    pub(super) fn send_report(
        &mut self,
        engine: usize,
    ) {
        let spec = &self.load.engines;
        let load = self.engines[engine].report();
        let changes = self.engines[engine].memory.take_changes();
        let received_at = self.now + millis(spec.report_lag_ms);
        let report_event = SimEvent::ReportReceived(engine, load, changes);
        self.queue.push(received_at, report_event);
        let next_at = self.now + millis(spec.report_every_ms.max(1.0));
        self.queue.push(next_at, SimEvent::ReportDue(engine));
    }

    /// Fronts receive an engine's report.
    pub(super) fn on_report(
        &mut self,
        engine: usize,
        load: EngineLoad,
        changes: &[(PartId, u32)],
    ) {
        for front in &mut self.fronts {
            let key = front.key(engine);
            let Some(entry) = front.registry.get_mut(key) else {
                continue;
            };
            entry.load = Some(EngineLoad {
                at: self.now,
                ..load
            });
            if load.is_silent {
                entry.parts.clear();
            }
            for (id, tokens) in changes {
                entry.parts.set(NAMESPACE, *id, *tokens);
            }
        }
    }

    /// Stops the first `engines` engines; their memory and requests are lost.
    pub(super) fn stop_engines(
        &mut self,
        engines: usize,
    ) {
        let count = engines.min(self.engines.len());
        for engine in 0..count {
            self.engines[engine].stop();
            self.incoming[engine].clear();
        }
        for index in 0..self.states.len() {
            let state = &self.states[index];
            let attempt = AttemptKey {
                request: RequestKey(index),
                number: state.attempts,
            };
            let is_affected = state
                .routed
                .as_ref()
                .is_some_and(|routed| routed.engine < count);
            if is_affected && state.outcome.is_none() && !state.is_lost {
                self.report_loss(attempt);
            }
        }
    }

    /// Starts the first `engines` engines again, with empty memory.
    pub(super) fn start_engines(
        &mut self,
        engines: usize,
    ) {
        let count = engines.min(self.engines.len());
        for engine in &mut self.engines[..count] {
            engine.is_down = false;
        }
    }
}
