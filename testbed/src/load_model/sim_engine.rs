use {
    super::{AttemptKey, EngineMemory, EngineRun, EngineSpec, StepEvent},
    pitchhitch_core::{serving::EngineLoad, time::Micros},
};

/// One engine. In each step, every prefilled request generates a token, and a chunk of the
/// prompts that are not prefilled yet is processed.
#[derive(Debug)]
pub struct SimEngine {
    spec: EngineSpec,
    slowness: f64,
    /// Memory of running requests and cached parts.
    pub memory: EngineMemory,
    waiting: Vec<EngineRun>,
    running: Vec<EngineRun>,
    /// Requests that have arrived and cannot be prefilled yet.
    pub unready: u32,
    arrivals: u64,
    /// Whether a step is running.
    pub is_stepping: bool,
    /// Incarnation number; it increases with each stop.
    pub incarnation: u32,
    /// Whether it is down.
    pub is_down: bool,
    /// Time until which its link is in use.
    pub link_busy_until: Micros,
}

impl SimEngine {
    /// Creates the engine with an index in a load.
    pub fn new(
        spec: &EngineSpec,
        index: usize,
    ) -> Self {
        SimEngine {
            spec: spec.clone(),
            slowness: spec.slowness_of(index),
            memory: EngineMemory::new(spec.memory_tokens, spec.block_tokens),
            waiting: Vec::new(),
            running: Vec::new(),
            unready: 0,
            arrivals: 0,
            is_stepping: false,
            incarnation: 0,
            is_down: false,
            link_busy_until: Micros::ZERO,
        }
    }

    /// Queues a request whose fetches have finished; returns false if it needs more than the total
    /// memory.
    pub fn enqueue(
        &mut self,
        mut run: EngineRun,
    ) -> bool {
        let max_tokens = self
            .memory
            .round_to_blocks(run.tokens_in() + run.output_tokens);
        if max_tokens + self.rounding_slack(&run) > self.memory.total() {
            return false;
        }
        self.arrivals += 1;
        run.arrival = self.arrivals;
        self.waiting.push(run);
        true
    }

    /// Upper bound of what rounding to blocks adds.
    fn rounding_slack(
        &self,
        run: &EngineRun,
    ) -> u64 {
        run.parts.len() as u64 * u64::from(self.spec.block_tokens)
    }

    /// Removes a request that no caller waits for.
    pub fn cancel(
        &mut self,
        key: AttemptKey,
    ) {
        self.waiting.retain(|run| run.key != key);
        if let Some(index) = self.running.iter().position(|run| run.key == key) {
            let mut run = self.running.remove(index);
            self.release(&mut run);
        }
    }

    /// Stops the engine; its memory and requests are lost.
    pub fn stop(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.memory = EngineMemory::new(self.spec.memory_tokens, self.spec.block_tokens);
        self.is_down = true;
        self.is_stepping = false;
        self.unready = 0;
        self.incarnation += 1;
    }

    /// Current content of a report.
    pub fn report(&self) -> EngineLoad {
        let reading = self.running.iter().filter(|run| run.generated == 0).count() as u32;
        let waiting = self.waiting.len() as u32;
        EngineLoad {
            running: self.running.len() as u32,
            waiting,
            unread: reading + self.unready + waiting,
            reading: reading + self.unready,
            used_tokens: self.memory.used(),
            total_tokens: self.memory.total(),
            is_silent: self.is_down,
            ..EngineLoad::default()
        }
    }

    /// Begins a step if there is anything to do; returns its duration.
    pub fn begin_step(
        &mut self,
        events: &mut Vec<StepEvent>,
    ) -> Option<Micros> {
        if self.is_stepping || self.is_down {
            return None;
        }
        self.admit_waiting(events);
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let mut millis = self.spec.step_ms + self.plan_prefill();
        millis += self.spec.step_ms_per_run * self.running.len() as f64;
        Some(Micros((millis * self.slowness * 1e3) as u64))
    }

    /// Admits waiting requests by priority, then by arrival. A more urgent request preempts less
    /// urgent ones.
    fn admit_waiting(
        &mut self,
        events: &mut Vec<StepEvent>,
    ) {
        self.waiting.sort_by_key(|run| (run.priority, run.arrival));
        while let Some(first) = self.waiting.first() {
            let priority = first.priority;
            let has_slot = self.running.len() < self.spec.places as usize;
            if has_slot && self.start_next() {
                continue;
            }
            let Some(index) = self.newest_of_least_urgent() else {
                return;
            };
            if self.running[index].priority <= priority {
                return;
            }
            self.preempt(index, events);
            self.waiting.sort_by_key(|run| (run.priority, run.arrival));
        }
    }

    /// Starts the first waiting request if there is memory for its whole prompt.
    fn start_next(&mut self) -> bool {
        let mut run = self.waiting.remove(0);
        let cached = self.memory.cached_parts(&run.parts);
        for part in &run.parts[..cached] {
            self.memory.pin(part.id);
        }
        run.pinned_parts = cached;
        let uncached = &run.parts[cached..];
        let uncached_tokens: u32 = uncached.iter().map(|part| part.tokens).sum();
        let prompt_tokens: u64 = uncached
            .iter()
            .map(|p| self.memory.round_to_blocks(p.tokens))
            .sum();
        run.private_tokens = 0;
        let needed = prompt_tokens + self.memory.round_to_blocks(run.generated + 1);
        if !self.memory.reserve_private(needed) {
            self.release(&mut run);
            self.waiting.insert(0, run);
            return false;
        }
        run.private_tokens = needed;
        run.prefill_tokens = (uncached_tokens + run.generated).max(1);
        self.running.push(run);
        true
    }

    /// Assigns the prefill tokens of this step to the requests; returns the prefill time in
    /// milliseconds.
    fn plan_prefill(&mut self) -> f64 {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| (self.running[*index].priority, self.running[*index].arrival));
        let mut tokens_left = self.spec.piece_tokens;
        let mut pairs = 0.0;
        for index in order {
            let run = &mut self.running[index];
            run.step_tokens = run.prefill_tokens.min(tokens_left);
            tokens_left -= run.step_tokens;
            pairs += f64::from(run.step_tokens) * f64::from(run.context());
        }
        let tokens = f64::from(self.spec.piece_tokens - tokens_left);
        tokens / self.spec.read_tokens_per_ms + pairs / 1e6 * self.spec.pair_ms
    }

    /// Ends a step.
    pub fn end_step(
        &mut self,
        now: Micros,
        events: &mut Vec<StepEvent>,
    ) {
        self.is_stepping = false;
        // Requests that are preempted in this step generate no token in it.
        let keys: Vec<AttemptKey> = self.running.iter().map(|run| run.key).collect();
        for key in keys {
            let Some(index) = self.running.iter().position(|run| run.key == key) else {
                continue;
            };
            let run = &mut self.running[index];
            let was_prefilling = run.prefill_tokens > 0;
            run.prefill_tokens -= run.step_tokens;
            run.step_tokens = 0;
            if run.prefill_tokens > 0 {
                continue;
            }
            if was_prefilling {
                self.cache_parts(index, events);
            }
            if self.reserve_token(key, events) {
                self.generate_token(key, now, events);
            }
        }
    }

    /// Caches the parts that a request has prefilled.
    fn cache_parts(
        &mut self,
        index: usize,
        events: &mut Vec<StepEvent>,
    ) {
        let run = &mut self.running[index];
        for part_index in run.pinned_parts..run.parts.len() {
            let part = run.parts[part_index];
            self.memory.insert_prefilled(part);
            run.private_tokens -= self.memory.round_to_blocks(part.tokens);
            if part_index + 1 < run.parts.len() {
                events.push(StepEvent::SharedPrefilled(part));
            }
        }
        run.pinned_parts = run.parts.len();
        events.push(StepEvent::Prefilled(run.key));
    }

    /// Allocates memory for one more token; returns false if the request itself was preempted for
    /// it.
    fn reserve_token(
        &mut self,
        key: AttemptKey,
        events: &mut Vec<StepEvent>,
    ) -> bool {
        loop {
            let Some(run) = self.running.iter_mut().find(|run| run.key == key) else {
                return false;
            };
            let needed = self.memory.round_to_blocks(run.generated + 1);
            let more = needed.saturating_sub(run.private_tokens);
            if self.memory.reserve_private(more) {
                run.private_tokens += more;
                return true;
            }
            let Some(newest) = self.newest_of_least_urgent() else {
                return false;
            };
            self.preempt(newest, events);
        }
    }

    fn generate_token(
        &mut self,
        key: AttemptKey,
        now: Micros,
        events: &mut Vec<StepEvent>,
    ) {
        let Some(index) = self.running.iter().position(|run| run.key == key) else {
            return;
        };
        let run = &mut self.running[index];
        run.record_token(now, self.spec.event_tokens);
        if run.generated == 1 {
            events.push(StepEvent::FirstToken(run.key));
        }
        if run.generated >= run.output_tokens {
            let mut run = self.running.remove(index);
            events.push(StepEvent::Finished(run.key, run.longest_pause));
            self.release(&mut run);
        }
    }

    fn newest_of_least_urgent(&self) -> Option<usize> {
        let indices = 0..self.running.len();
        indices.max_by_key(|index| (self.running[*index].priority, self.running[*index].arrival))
    }

    fn preempt(
        &mut self,
        index: usize,
        events: &mut Vec<StepEvent>,
    ) {
        let mut run = self.running.remove(index);
        self.release(&mut run);
        run.step_tokens = 0;
        self.waiting.push(run);
        events.push(StepEvent::Preempted);
    }

    /// Frees the memory of a request; its prefilled shared parts stay cached while there is memory.
    /// Later parts are unpinned first and thus evicted first, as they cannot be used without the
    /// ones before.
    fn release(
        &mut self,
        run: &mut EngineRun,
    ) {
        self.memory.release_private(run.private_tokens);
        run.private_tokens = 0;
        for part in run.parts[..run.pinned_parts].iter().rev() {
            self.memory.unpin(part.id);
        }
        if run.pinned_parts == run.parts.len() {
            if let Some(own_part) = run.parts.last() {
                self.memory.evict(own_part.id);
            }
        }
        run.pinned_parts = 0;
    }
}
