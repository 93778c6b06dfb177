use {
    super::{
        load_sim::millis, CallKey, EngineLife, EngineNews, EngineRun, LoadWorld, ModelEvent,
        SendKey, WALL,
    },
    pitchhitch_core::{
        serving::{EngineLoad, PartId, PromptPart},
        time::Micros,
    },
};

/// Time until a front learns that an engine went down, by its connection.
const LOSS_AFTER: Micros = Micros::from_millis(5);

impl LoadWorld<'_> {
    /// A request is at its engine, which fetches what it was told to.
    pub(super) fn reaches(
        &mut self,
        send: SendKey,
    ) {
        if !self.is_current(send) {
            return;
        }
        let Some(engine) = self.engine_of(send) else {
            return;
        };
        if self.engines[engine].is_down {
            self.lose(send);
            return;
        }
        let there_at = self.start_fetches(send, engine);
        self.engines[engine].unready += 1;
        let first = millis(self.load.engines.first_ms);
        let ready = ModelEvent::Ready(send, self.life_of(engine));
        self.queue.put(there_at + first, ready);
    }

    fn engine_of(
        &self,
        send: SendKey,
    ) -> Option<usize> {
        let sent = self.states[send.call.0].sent.as_ref();
        sent.map(|sent| sent.engine)
    }

    fn life_of(
        &self,
        engine: usize,
    ) -> EngineLife {
        let life = self.engines[engine].life;
        EngineLife { engine, life }
    }

    fn lose(
        &mut self,
        send: SendKey,
    ) {
        self.states[send.call.0].is_lost = true;
        self.queue
            .put(self.now + LOSS_AFTER, ModelEvent::Lost(send));
    }

    /// A request may be read.
    pub(super) fn ready(
        &mut self,
        send: SendKey,
        at: EngineLife,
    ) {
        let engine = at.engine;
        if self.life_of(engine) != at {
            return;
        }
        self.engines[engine].unready -= 1;
        if !self.is_current(send) {
            return;
        }
        let call = &self.calls[send.call.0];
        let run = EngineRun {
            key: send,
            rank: self.load.kinds[call.kind].rank,
            order: 0,
            parts: call.parts.clone(),
            wanted: call.tokens_out,
            made: 0,
            pinned: 0,
            own: 0,
            to_read: 0,
            reads_now: 0,
            sent_at: None,
            longest_pause: Micros::ZERO,
        };
        if self.engines[engine].take(run) {
            self.step(engine);
        } else {
            self.lose(send);
        }
    }

    /// Begins a step, if the engine has something to do and does nothing.
    fn step(
        &mut self,
        engine: usize,
    ) {
        let mut news = Vec::new();
        let took = self.engines[engine].begin_step(&mut news);
        if let Some(took) = took {
            let ends = ModelEvent::StepEnds(self.life_of(engine));
            self.queue.put(self.now + took, ends);
        }
        self.hear(engine, news);
    }

    /// An engine ends a step and begins the next.
    pub(super) fn step_ends(
        &mut self,
        at: EngineLife,
    ) {
        let engine = at.engine;
        if self.life_of(engine) != at {
            return;
        }
        let mut news = Vec::new();
        self.engines[engine].end_step(self.now, &mut news);
        self.hear(engine, news);
        self.step(engine);
    }

    fn hear(
        &mut self,
        engine: usize,
        news: Vec<EngineNews>,
    ) {
        for news in news {
            match news {
                EngineNews::Begun(send) => self.tell(engine, send, ModelEvent::Begun(send)),
                EngineNews::Ended(send, pause) => {
                    self.tell(engine, send, ModelEvent::Ended(send, pause));
                }
                EngineNews::ReadShared(part) => self.note_read(part),
                EngineNews::Whole(send) => self.is_whole(send),
                EngineNews::PutBack => self.tally.put_back += 1,
            }
        }
    }

    /// Counts a shared part that is read although an engine had it lately.
    fn note_read(
        &mut self,
        part: PromptPart,
    ) {
        let within = millis(self.load.again_s * 1e3);
        let used_at = self.used_at.get(&part.id);
        if used_at.is_some_and(|at| self.now.since(*at) < within) {
            self.tally.read_again += u64::from(part.tokens);
        }
    }

    /// All parts of a prompt are at its engine.
    fn is_whole(
        &mut self,
        send: SendKey,
    ) {
        for part in self.calls[send.call.0].shared() {
            self.used_at.insert(part.id, self.now);
        }
        self.start_saves(send);
    }

    fn tell(
        &mut self,
        engine: usize,
        send: SendKey,
        event: ModelEvent,
    ) {
        let hop = self.hop(self.states[send.call.0].front, engine);
        self.queue.put(self.now + hop, event);
    }

    /// An engine takes stock, which fronts hear later.
    pub(super) fn reports(
        &mut self,
        engine: usize,
    ) {
        let spec = &self.load.engines;
        let load = self.engines[engine].report();
        let changes = self.engines[engine].memory.take_changes();
        let heard_at = self.now + millis(spec.report_lag_ms);
        let reported = ModelEvent::Reported(engine, load, changes);
        self.queue.put(heard_at, reported);
        let next_at = self.now + millis(spec.report_every_ms.max(1.0));
        self.queue.put(next_at, ModelEvent::Reports(engine));
    }

    /// Fronts hear an engine's report.
    pub(super) fn reported(
        &mut self,
        engine: usize,
        load: EngineLoad,
        changes: &[(PartId, u32)],
    ) {
        for front in &mut self.fronts {
            let key = front.key(engine);
            let Some(entry) = front.book.get_mut(key) else {
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
                entry.parts.set(WALL, *id, *tokens);
            }
        }
    }

    /// The first so many engines go down with all that they hold.
    pub(super) fn go_down(
        &mut self,
        engines: usize,
    ) {
        let count = engines.min(self.engines.len());
        for engine in 0..count {
            self.engines[engine].go_down();
            self.coming[engine].clear();
        }
        for number in 0..self.states.len() {
            let state = &self.states[number];
            let send = SendKey {
                call: CallKey(number),
                send: state.sends,
            };
            let is_there = state.sent.as_ref().is_some_and(|sent| sent.engine < count);
            if is_there && state.outcome.is_none() && !state.is_lost {
                self.lose(send);
            }
        }
    }

    /// They come back, empty.
    pub(super) fn come_up(
        &mut self,
        engines: usize,
    ) {
        let count = engines.min(self.engines.len());
        for engine in &mut self.engines[..count] {
            engine.is_down = false;
        }
    }
}
