use {
    super::{EngineMemory, EngineNews, EngineRun, EngineSpec, SendKey},
    pitchhitch_core::{serving::EngineLoad, time::Micros},
};

/// One engine: it runs requests in steps, in each of which every request that has
/// been read makes a token and a piece of those that have not is read.
#[derive(Debug)]
pub struct ModelEngine {
    spec: EngineSpec,
    slowness: f64,
    /// Memory.
    pub memory: EngineMemory,
    waiting: Vec<EngineRun>,
    running: Vec<EngineRun>,
    /// Requests that came and may not be read yet.
    pub unready: u32,
    orders: u64,
    /// Whether a step is under way.
    pub is_stepping: bool,
    /// Number of its life; it rises when it goes down.
    pub life: u32,
    /// Whether it is down.
    pub is_down: bool,
    /// Until when its link is taken.
    pub link_until: Micros,
}

impl ModelEngine {
    /// The engine with a number among those of a load.
    pub fn new(
        spec: &EngineSpec,
        number: usize,
    ) -> Self {
        ModelEngine {
            spec: spec.clone(),
            slowness: spec.slowness_of(number),
            memory: EngineMemory::new(spec.memory_tokens, spec.block_tokens),
            waiting: Vec::new(),
            running: Vec::new(),
            unready: 0,
            orders: 0,
            is_stepping: false,
            life: 0,
            is_down: false,
            link_until: Micros::ZERO,
        }
    }

    /// Takes a request whose fetches have ended; false where it is larger than
    /// all memory.
    pub fn take(
        &mut self,
        mut run: EngineRun,
    ) -> bool {
        let most = self.memory.blocks(run.tokens_in() + run.wanted);
        if most + self.part_slack(&run) > self.memory.total() {
            return false;
        }
        self.orders += 1;
        run.order = self.orders;
        self.waiting.push(run);
        true
    }

    /// What rounding to blocks adds at most.
    fn part_slack(
        &self,
        run: &EngineRun,
    ) -> u64 {
        run.parts.len() as u64 * u64::from(self.spec.block_tokens)
    }

    /// Ends a request that nobody waits for.
    pub fn cancel(
        &mut self,
        key: SendKey,
    ) {
        self.waiting.retain(|run| run.key != key);
        if let Some(place) = self.running.iter().position(|run| run.key == key) {
            let mut run = self.running.remove(place);
            self.let_go(&mut run);
        }
    }

    /// Goes down; all that it held is lost.
    pub fn go_down(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.memory = EngineMemory::new(self.spec.memory_tokens, self.spec.block_tokens);
        self.is_down = true;
        self.is_stepping = false;
        self.unready = 0;
        self.life += 1;
    }

    /// What a report says now.
    pub fn report(&self) -> EngineLoad {
        let reading = self.running.iter().filter(|run| run.made == 0).count() as u32;
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

    /// Begins a step, if there is anything to do; tells how long it takes.
    pub fn begin_step(
        &mut self,
        news: &mut Vec<EngineNews>,
    ) -> Option<Micros> {
        if self.is_stepping || self.is_down {
            return None;
        }
        self.let_in(news);
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let mut millis = self.spec.step_ms + self.plan_reads();
        millis += self.spec.step_ms_per_run * self.running.len() as f64;
        Some(Micros((millis * self.slowness * 1e3) as u64))
    }

    /// Lets requests in that wait, the most urgent first, then in their order.
    fn let_in(
        &mut self,
        news: &mut Vec<EngineNews>,
    ) {
        self.waiting.sort_by_key(|run| (run.rank, run.order));
        while let Some(first) = self.waiting.first() {
            let rank = first.rank;
            let has_place = self.running.len() < self.spec.places as usize;
            if has_place && self.start_first() {
                continue;
            }
            let Some(place) = self.newest_of_least_urgent() else {
                return;
            };
            if self.running[place].rank <= rank {
                return;
            }
            self.put_back(place, news);
            self.waiting.sort_by_key(|run| (run.rank, run.order));
        }
    }

    /// Starts the first that waits, if memory is there for its whole prompt.
    fn start_first(&mut self) -> bool {
        let mut run = self.waiting.remove(0);
        let kept = self.memory.kept_parts(&run.parts);
        for part in &run.parts[..kept] {
            self.memory.pin(part.id);
        }
        run.pinned = kept;
        let unkept = &run.parts[kept..];
        let unread: u32 = unkept.iter().map(|part| part.tokens).sum();
        let blocks: u64 = unkept.iter().map(|p| self.memory.blocks(p.tokens)).sum();
        run.own = 0;
        let wanted = blocks + self.memory.blocks(run.made + 1);
        if !self.memory.take_own(wanted) {
            self.let_go(&mut run);
            self.waiting.insert(0, run);
            return false;
        }
        run.own = wanted;
        run.to_read = (unread + run.made).max(1);
        self.running.push(run);
        true
    }

    /// Says what each request has read in this step; tells for how long it reads,
    /// in milliseconds.
    fn plan_reads(&mut self) -> f64 {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|place| (self.running[*place].rank, self.running[*place].order));
        let mut left = self.spec.piece_tokens;
        let mut pairs = 0.0;
        for place in order {
            let run = &mut self.running[place];
            run.reads_now = run.to_read.min(left);
            left -= run.reads_now;
            pairs += f64::from(run.reads_now) * f64::from(run.context());
        }
        let read = f64::from(self.spec.piece_tokens - left);
        read / self.spec.read_tokens_per_ms + pairs / 1e6 * self.spec.pair_ms
    }

    /// Ends a step.
    pub fn end_step(
        &mut self,
        now: Micros,
        news: &mut Vec<EngineNews>,
    ) {
        self.is_stepping = false;
        // Those that are put back in this step have made no token in it.
        let keys: Vec<SendKey> = self.running.iter().map(|run| run.key).collect();
        for key in keys {
            let Some(place) = self.running.iter().position(|run| run.key == key) else {
                continue;
            };
            let run = &mut self.running[place];
            let was_reading = run.to_read > 0;
            run.to_read -= run.reads_now;
            run.reads_now = 0;
            if run.to_read > 0 {
                continue;
            }
            if was_reading {
                self.keep_parts(place, news);
            }
            if self.grow(key, news) {
                self.make_token(key, now, news);
            }
        }
    }

    /// What a request has read is kept from now on.
    fn keep_parts(
        &mut self,
        place: usize,
        news: &mut Vec<EngineNews>,
    ) {
        let run = &mut self.running[place];
        for number in run.pinned..run.parts.len() {
            let part = run.parts[number];
            self.memory.keep_read(part);
            run.own -= self.memory.blocks(part.tokens);
            if number + 1 < run.parts.len() {
                news.push(EngineNews::ReadShared(part));
            }
        }
        run.pinned = run.parts.len();
        news.push(EngineNews::Whole(run.key));
    }

    /// Takes memory for one more token; false where the request itself was put back.
    fn grow(
        &mut self,
        key: SendKey,
        news: &mut Vec<EngineNews>,
    ) -> bool {
        loop {
            let Some(run) = self.running.iter_mut().find(|run| run.key == key) else {
                return false;
            };
            let wanted = self.memory.blocks(run.made + 1);
            let more = wanted.saturating_sub(run.own);
            if self.memory.take_own(more) {
                run.own += more;
                return true;
            }
            let Some(newest) = self.newest_of_least_urgent() else {
                return false;
            };
            self.put_back(newest, news);
        }
    }

    fn make_token(
        &mut self,
        key: SendKey,
        now: Micros,
        news: &mut Vec<EngineNews>,
    ) {
        let Some(place) = self.running.iter().position(|run| run.key == key) else {
            return;
        };
        let run = &mut self.running[place];
        run.make(now, self.spec.event_tokens);
        if run.made == 1 {
            news.push(EngineNews::Begun(run.key));
        }
        if run.made >= run.wanted {
            let mut run = self.running.remove(place);
            news.push(EngineNews::Ended(run.key, run.longest_pause));
            self.let_go(&mut run);
        }
    }

    fn newest_of_least_urgent(&self) -> Option<usize> {
        let places = 0..self.running.len();
        places.max_by_key(|place| (self.running[*place].rank, self.running[*place].order))
    }

    fn put_back(
        &mut self,
        place: usize,
        news: &mut Vec<EngineNews>,
    ) {
        let mut run = self.running.remove(place);
        self.let_go(&mut run);
        run.reads_now = 0;
        self.waiting.push(run);
        news.push(EngineNews::PutBack);
    }

    /// Gives back all memory of a request; what it read stays while there is room.
    /// Its later parts give way first, as they are of no use without the others.
    fn let_go(
        &mut self,
        run: &mut EngineRun,
    ) {
        self.memory.give_own(run.own);
        run.own = 0;
        for part in run.parts[..run.pinned].iter().rev() {
            self.memory.unpin(part.id);
        }
        if run.pinned == run.parts.len() {
            if let Some(own) = run.parts.last() {
                self.memory.forget(own.id);
            }
        }
        run.pinned = 0;
    }
}
