use {
    super::{MechanismSet, ServingMechanism},
    crate::time::Micros,
};

/// Time to read a token until prompts have shown it, in milliseconds. Engines on
/// which this was measured read 24 to 190 tokens in a millisecond; the first
/// hundred prompts set it right from four times too much or too little.
const START_TOKEN_MS: f64 = 0.02;
/// How far the learned time may be from the start, as a factor either way.
const TOKEN_MS_BOUND: f64 = 30.0;
/// Prompts that the start counts for: a few dozen outweigh it.
const START_WEIGHT: f64 = 5.0;
/// Part of what was learned that one more prompt leaves: the last hundred count.
const KEPT_PART: f64 = 0.99;
/// A prompt that took longer than this many times what was expected waited for
/// something else, such as memory: it counts as this many times.
const OUTLIER: f64 = 4.0;
/// Weight of one prompt in the mean sizes.
const SIZE_STEP: f64 = 0.02;
/// The most that one prompt moves a mean.
const MOST_STEP: f64 = 0.2;
/// Sizes of a prompt, in tokens, until some have come.
const START_PROMPT_TOKENS: f64 = 4_000.0;
const START_UNREAD_TOKENS: f64 = 2_000.0;
/// Size of an answer, in tokens, until some have been asked for.
const START_ANSWER_TOKENS: f64 = 50.0;
/// Weight of one report in the mean of queues.
const QUEUE_STEP: f64 = 0.02;
/// Age up to which a report says all of a queue, in milliseconds.
const QUEUE_FRESH_MS: f64 = 100.0;
/// Times to read a usual prompt, beyond that, after which it says little.
const QUEUE_TURNS: f64 = 20.0;
/// Time for which a prompt holds its memory, in milliseconds, until some have ended.
const START_HELD_MS: f64 = 1_000.0;

/// What is learned of how engines take prompts: the time until one begins is a
/// time of its own and a time for each token that is read until then.
///
/// The decisions count with these figures in place of any that hold for one kind
/// of engine. Gain on engines that read 48 tokens in a millisecond, against a fixed
/// 97, in one replayed day of high load: 41 of 2,027 small prompts late, not 65.
#[derive(Debug, Clone)]
pub struct EnginePace {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
    prompt_tokens: f64,
    unread_tokens: f64,
    answer_tokens: f64,
    held_ms: f64,
    queued: f64,
    left_out: MechanismSet,
}

impl Default for EnginePace {
    fn default() -> Self {
        EnginePace::starting_at(START_TOKEN_MS)
    }
}

impl EnginePace {
    /// Nothing is learned yet, and some mechanisms are done without.
    pub fn without(left_out: MechanismSet) -> Self {
        EnginePace {
            left_out,
            ..EnginePace::default()
        }
    }

    /// Nothing is learned yet; a token is believed to take `token_ms` milliseconds.
    pub fn starting_at(token_ms: f64) -> Self {
        let mut pace = EnginePace {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            tokens_millis: 0.0,
            prompt_tokens: START_PROMPT_TOKENS,
            unread_tokens: START_UNREAD_TOKENS,
            answer_tokens: START_ANSWER_TOKENS,
            held_ms: START_HELD_MS,
            queued: 0.0,
            left_out: MechanismSet::default(),
        };
        // Two points on the line that is believed in.
        for tokens in [0.0, START_PROMPT_TOKENS] {
            pace.add(START_WEIGHT / 2.0, tokens, tokens * token_ms);
        }
        pace
    }

    fn add(
        &mut self,
        weight: f64,
        tokens: f64,
        millis: f64,
    ) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.millis += weight * millis;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_millis += weight * tokens * millis;
    }

    /// Notes a report of an engine: prompts that it has not begun to answer.
    pub fn note_report(
        &mut self,
        unread: u32,
    ) {
        self.queued += QUEUE_STEP * (f64::from(unread) - self.queued);
    }

    /// Tokens that an engine still has to read, in the mean of all.
    pub fn queued_tokens(&self) -> f64 {
        self.queued * self.unread_tokens
    }

    /// How much of what a report said of an engine's queue still holds after so long, from 1 to
    /// 0: what was queued then has been read some times over.
    pub fn still_holds(
        &self,
        age: Micros,
    ) -> f64 {
        let turn_ms = (self.unread_tokens * self.token_ms() * QUEUE_TURNS).max(1.0);
        let old_ms = (age.0 as f64 / 1e3 - QUEUE_FRESH_MS).max(0.0);
        (-old_ms / turn_ms).exp()
    }

    /// Notes a prompt that is sent: its size, what of it has to be read, and the
    /// longest answer that it asks for, in tokens.
    pub fn note_sent(
        &mut self,
        prompt_tokens: u32,
        unread_tokens: u32,
        answer_tokens: u32,
    ) {
        let follow = |mean: &mut f64, seen: u32| *mean += SIZE_STEP * (f64::from(seen) - *mean);
        follow(&mut self.prompt_tokens, prompt_tokens);
        follow(&mut self.unread_tokens, unread_tokens);
        follow(&mut self.answer_tokens, answer_tokens);
    }

    /// Notes that a prompt began `millis` after it was sent, with `tokens` to be
    /// read until then: those that were ahead of it, and its own.
    pub fn note_begun(
        &mut self,
        tokens: f64,
        millis: f64,
    ) {
        if self.left_out.has(ServingMechanism::LearnedPace) {
            return;
        }
        let expected = self.begin_ms() + tokens * self.token_ms();
        let millis = millis.clamp(0.0, expected.max(1.0) * OUTLIER);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.tokens_millis,
        ] {
            *sum *= KEPT_PART;
        }
        self.add(1.0, tokens, millis);
    }

    /// Notes that a prompt of so many tokens held its memory for `millis`: larger
    /// ones count more, as it is their memory that others wait for.
    pub fn note_ended(
        &mut self,
        tokens: u32,
        millis: f64,
    ) {
        let weight = f64::from(tokens) / self.prompt_tokens.max(1.0);
        let step = (SIZE_STEP * weight).min(MOST_STEP);
        self.held_ms += step * (millis - self.held_ms);
    }

    /// Time until an engine on which runs take `used` tokens of memory has freed
    /// one more, in milliseconds.
    pub fn memory_ms(
        &self,
        used: u64,
    ) -> f64 {
        self.held_ms / (used as f64).max(1.0)
    }

    /// Time to read one token, in milliseconds, beside the other work of an engine.
    pub fn token_ms(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let shared = self.weight * self.tokens_millis - self.tokens * self.millis;
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let least = START_TOKEN_MS / TOKEN_MS_BOUND;
        slope.clamp(least, START_TOKEN_MS * TOKEN_MS_BOUND)
    }

    /// Time until a prompt begins beside the reading, in milliseconds.
    pub fn begin_ms(&self) -> f64 {
        let rest = self.millis - self.token_ms() * self.tokens;
        (rest / self.weight).max(0.0)
    }

    /// Mean size of a prompt, in tokens.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Mean of what has to be read of a prompt, in tokens.
    pub fn unread_tokens(&self) -> f64 {
        self.unread_tokens
    }

    /// Mean of the longest answers that are asked for, in tokens.
    pub fn answer_tokens(&self) -> f64 {
        self.answer_tokens
    }
}
