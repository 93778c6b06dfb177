use {
    super::{MechanismSet, ServingMechanism},
    crate::time::Micros,
};

/// Time to read a token until prompts have shown it, in milliseconds. Engines on
/// which this was measured read 24 to 190 tokens in a millisecond; the first
/// hundred prompts set it right from four times too much or too little.
const INITIAL_TOKEN_MS: f64 = 0.02;
/// How far the learned time may be from the start, as a factor either way.
const MAX_TOKEN_MS_RATIO: f64 = 30.0;
/// Prompts that the start counts for: a few dozen outweigh it.
const INITIAL_WEIGHT: f64 = 5.0;
/// Part of what was learned that one more prompt leaves: the last hundred count.
const DECAY: f64 = 0.99;
/// A prompt that took longer than this many times what was expected waited for
/// something else, such as memory: it counts as this many times.
const MAX_OUTLIER_RATIO: f64 = 4.0;
/// Weight of one prompt in the mean sizes.
const SIZE_SMOOTHING: f64 = 0.02;
/// The most that one prompt moves a mean.
const MAX_SMOOTHING: f64 = 0.2;
/// Sizes of a prompt, in tokens, until some have come.
const INITIAL_PROMPT_TOKENS: f64 = 4_000.0;
const INITIAL_PREFILL_TOKENS: f64 = 2_000.0;
/// Size of an answer, in tokens, until some have been asked for.
const INITIAL_ANSWER_TOKENS: f64 = 50.0;
/// Weight of one report in the mean of queues.
const QUEUE_SMOOTHING: f64 = 0.02;
/// Age up to which a report says all of a queue, in milliseconds.
const QUEUE_FRESH_MS: f64 = 100.0;
/// Times to read a usual prompt, beyond that, after which it says little.
const QUEUE_DECAY_PREFILLS: f64 = 20.0;
/// Time for which a prompt holds its memory, in milliseconds, until some have ended.
const INITIAL_HOLD_MS: f64 = 1_000.0;

/// What is learned of how engines take prompts: the time until one begins is a
/// time of its own and a time for each token that is read until then.
///
/// The decisions count with these figures in place of any that hold for one kind
/// of engine. Gain on engines that read 48 tokens in a millisecond, against a fixed
/// 97, in one replayed day of high load: 41 of 2,027 small prompts late, not 65.
#[derive(Debug, Clone)]
pub struct LatencyEstimator {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
    prompt_tokens: f64,
    prefill_tokens: f64,
    answer_tokens: f64,
    hold_ms: f64,
    queued_prompts: f64,
    disabled: MechanismSet,
}

impl Default for LatencyEstimator {
    fn default() -> Self {
        LatencyEstimator::with_token_ms(INITIAL_TOKEN_MS)
    }
}

impl LatencyEstimator {
    /// Nothing is learned yet, and some mechanisms are done without.
    pub fn without(disabled: MechanismSet) -> Self {
        LatencyEstimator {
            disabled,
            ..LatencyEstimator::default()
        }
    }

    /// Nothing is learned yet; a token is believed to take `token_ms` milliseconds.
    pub fn with_token_ms(token_ms: f64) -> Self {
        let mut estimator = LatencyEstimator {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            tokens_millis: 0.0,
            prompt_tokens: INITIAL_PROMPT_TOKENS,
            prefill_tokens: INITIAL_PREFILL_TOKENS,
            answer_tokens: INITIAL_ANSWER_TOKENS,
            hold_ms: INITIAL_HOLD_MS,
            queued_prompts: 0.0,
            disabled: MechanismSet::default(),
        };
        // Two points on the line that is believed in.
        for tokens in [0.0, INITIAL_PROMPT_TOKENS] {
            estimator.add(INITIAL_WEIGHT / 2.0, tokens, tokens * token_ms);
        }
        estimator
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
    pub fn record_report(
        &mut self,
        unstarted: u32,
    ) {
        self.queued_prompts += QUEUE_SMOOTHING * (f64::from(unstarted) - self.queued_prompts);
    }

    /// Tokens that an engine still has to read, in the mean of all.
    pub fn mean_queued_tokens(&self) -> f64 {
        self.queued_prompts * self.prefill_tokens
    }

    /// How much of what a report said of an engine's queue still holds after so long, from 1 to
    /// 0: what was queued then has been read some times over.
    pub fn report_weight(
        &self,
        age: Micros,
    ) -> f64 {
        let decay_ms = (self.prefill_tokens * self.token_ms() * QUEUE_DECAY_PREFILLS).max(1.0);
        let stale_ms = (age.0 as f64 / 1e3 - QUEUE_FRESH_MS).max(0.0);
        (-stale_ms / decay_ms).exp()
    }

    /// Notes a prompt that is sent: its size, what of it has to be read, and the
    /// longest answer that it asks for, in tokens.
    pub fn record_sent(
        &mut self,
        prompt_tokens: u32,
        prefill_tokens: u32,
        answer_tokens: u32,
    ) {
        let update =
            |mean: &mut f64, sample: u32| *mean += SIZE_SMOOTHING * (f64::from(sample) - *mean);
        update(&mut self.prompt_tokens, prompt_tokens);
        update(&mut self.prefill_tokens, prefill_tokens);
        update(&mut self.answer_tokens, answer_tokens);
    }

    /// Notes that a prompt began `millis` after it was sent, with `tokens` to be
    /// read until then: those that were ahead of it, and its own.
    pub fn record_first_token(
        &mut self,
        tokens: f64,
        millis: f64,
    ) {
        if self.disabled.contains(ServingMechanism::LearnedPace) {
            return;
        }
        let expected = self.overhead_ms() + tokens * self.token_ms();
        let millis = millis.clamp(0.0, expected.max(1.0) * MAX_OUTLIER_RATIO);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.tokens_millis,
        ] {
            *sum *= DECAY;
        }
        self.add(1.0, tokens, millis);
    }

    /// Notes that a prompt of so many tokens held its memory for `millis`: larger
    /// ones count more, as it is their memory that others wait for.
    pub fn record_end(
        &mut self,
        tokens: u32,
        millis: f64,
    ) {
        let weight = f64::from(tokens) / self.prompt_tokens.max(1.0);
        let step = (SIZE_SMOOTHING * weight).min(MAX_SMOOTHING);
        self.hold_ms += step * (millis - self.hold_ms);
    }

    /// Time until an engine on which runs take `used` tokens of memory has freed
    /// one more, in milliseconds.
    pub fn ms_per_freed_token(
        &self,
        used: u64,
    ) -> f64 {
        self.hold_ms / (used as f64).max(1.0)
    }

    /// Time to read one token, in milliseconds, beside the other work of an engine.
    pub fn token_ms(&self) -> f64 {
        let variance = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.weight * self.tokens_millis - self.tokens * self.millis;
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let lowest = INITIAL_TOKEN_MS / MAX_TOKEN_MS_RATIO;
        slope.clamp(lowest, INITIAL_TOKEN_MS * MAX_TOKEN_MS_RATIO)
    }

    /// Time until a prompt begins beside the reading, in milliseconds.
    pub fn overhead_ms(&self) -> f64 {
        let rest = self.millis - self.token_ms() * self.tokens;
        (rest / self.weight).max(0.0)
    }

    /// Mean size of a prompt, in tokens.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Mean of what has to be read of a prompt, in tokens.
    pub fn prefill_tokens(&self) -> f64 {
        self.prefill_tokens
    }

    /// Mean of the longest answers that are asked for, in tokens.
    pub fn answer_tokens(&self) -> f64 {
        self.answer_tokens
    }
}
