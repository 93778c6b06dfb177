use {
    crate::serving::{MechanismSet, ServingMechanism},
    crate::time::Micros,
};

/// Initial prefill time per token, in milliseconds. Engines on which it was measured prefill 24 to
/// 190 tokens per millisecond; a hundred prompts correct an initial value that is wrong by a factor
/// of four.
const INITIAL_TOKEN_MS: f64 = 0.02;
/// Maximum ratio between the learned time per token and [`INITIAL_TOKEN_MS`], in either direction.
const MAX_TOKEN_MS_RATIO: f64 = 30.0;
/// Weight of the initial value, in prompts: a few dozen prompts outweigh it.
const INITIAL_WEIGHT: f64 = 5.0;
/// Factor on the weight of earlier prompts with each new one: about the last hundred count.
const DECAY: f64 = 0.99;
/// Maximum ratio between the measured and the expected time of a prompt; longer times are capped,
/// as such a prompt waited for something else, such as memory.
const MAX_OUTLIER_RATIO: f64 = 4.0;
/// Weight of one prompt in the mean sizes.
const SIZE_SMOOTHING: f64 = 0.02;
/// Maximum weight of one prompt in a mean.
const MAX_SMOOTHING: f64 = 0.2;
/// Initial mean size and prefill size of a prompt, in tokens.
const INITIAL_PROMPT_TOKENS: f64 = 4_000.0;
const INITIAL_PREFILL_TOKENS: f64 = 2_000.0;
/// Initial mean size of the requested answers, in tokens.
const INITIAL_ANSWER_TOKENS: f64 = 50.0;
/// Weight of one report in the mean queue length.
const QUEUE_SMOOTHING: f64 = 0.02;
/// Age up to which a report fully describes a queue, in milliseconds.
const QUEUE_FRESH_MS: f64 = 100.0;
/// Time constant of the decay of a report's weight beyond that age, in prefill times of a typical
/// prompt.
const QUEUE_DECAY_PREFILLS: f64 = 20.0;
/// Initial mean time for which a prompt occupies its memory, in milliseconds.
const INITIAL_HOLD_MS: f64 = 1_000.0;

/// Learns the time to first token of the engines: a fixed overhead plus a time per token to
/// prefill, by linear regression.
///
/// Decisions use these estimates instead of constants, as a constant fits one kind of engine only:
/// on slower engines more prompts would be late.
#[derive(Debug, Clone)]
pub struct LatencyEstimator {
    sum_weight: f64,
    sum_tokens: f64,
    sum_millis: f64,
    sum_tokens_squared: f64,
    sum_tokens_millis: f64,
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
    /// An estimator in its initial state with some mechanisms disabled.
    pub fn without(disabled: MechanismSet) -> Self {
        LatencyEstimator {
            disabled,
            ..LatencyEstimator::default()
        }
    }

    /// An estimator in its initial state, with an initial prefill time of `token_ms` milliseconds
    /// per token.
    pub fn with_token_ms(token_ms: f64) -> Self {
        let mut estimator = LatencyEstimator {
            sum_weight: 0.0,
            sum_tokens: 0.0,
            sum_millis: 0.0,
            sum_tokens_squared: 0.0,
            sum_tokens_millis: 0.0,
            prompt_tokens: INITIAL_PROMPT_TOKENS,
            prefill_tokens: INITIAL_PREFILL_TOKENS,
            answer_tokens: INITIAL_ANSWER_TOKENS,
            hold_ms: INITIAL_HOLD_MS,
            queued_prompts: 0.0,
            disabled: MechanismSet::default(),
        };
        // Two points define the initial line.
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
        self.sum_weight += weight;
        self.sum_tokens += weight * tokens;
        self.sum_millis += weight * millis;
        self.sum_tokens_squared += weight * tokens * tokens;
        self.sum_tokens_millis += weight * tokens * millis;
    }

    /// Records a report of an engine: the number of prompts that it has not started to answer.
    pub fn record_report(
        &mut self,
        unstarted: u32,
    ) {
        self.queued_prompts += QUEUE_SMOOTHING * (f64::from(unstarted) - self.queued_prompts);
    }

    /// Mean number of tokens that an engine has yet to prefill.
    pub fn mean_queued_tokens(&self) -> f64 {
        self.queued_prompts * self.prefill_tokens
    }

    /// Weight, from 1 to 0, of a report of an engine's queue by its age. An old report has little
    /// weight, as the queue that it describes has been prefilled several times over since.
    pub fn report_weight(
        &self,
        age: Micros,
    ) -> f64 {
        let decay_ms = (self.prefill_tokens * self.token_ms() * QUEUE_DECAY_PREFILLS).max(1.0);
        let stale_ms = (age.0 as f64 / 1e3 - QUEUE_FRESH_MS).max(0.0);
        (-stale_ms / decay_ms).exp()
    }

    /// Mean time for which a prompt occupies its memory, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Records a prompt that is sent: its size, its tokens to prefill, and the maximum length of
    /// the answer, in tokens.
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

    /// Records that the answer started `millis` after the prompt was sent, with `tokens` to prefill
    /// until then: those ahead of it and its own.
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
            &mut self.sum_weight,
            &mut self.sum_tokens,
            &mut self.sum_millis,
            &mut self.sum_tokens_squared,
            &mut self.sum_tokens_millis,
        ] {
            *sum *= DECAY;
        }
        self.add(1.0, tokens, millis);
    }

    /// Records that a prompt of `tokens` occupied its memory for `millis`. Larger prompts have a
    /// larger weight, as others wait for their memory.
    pub fn record_ended(
        &mut self,
        tokens: u32,
        millis: f64,
    ) {
        let weight = f64::from(tokens) / self.prompt_tokens.max(1.0);
        let step = (SIZE_SMOOTHING * weight).min(MAX_SMOOTHING);
        self.hold_ms += step * (millis - self.hold_ms);
    }

    /// Mean time until an engine frees one more token of memory, in milliseconds, if running
    /// requests use `used` tokens.
    pub fn ms_per_freed_token(
        &self,
        used: u64,
    ) -> f64 {
        self.hold_ms / (used as f64).max(1.0)
    }

    /// Prefill time per token, in milliseconds, while the engine also decodes other requests.
    pub fn token_ms(&self) -> f64 {
        let variance =
            self.sum_weight * self.sum_tokens_squared - self.sum_tokens * self.sum_tokens;
        let covariance =
            self.sum_weight * self.sum_tokens_millis - self.sum_tokens * self.sum_millis;
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let lowest = INITIAL_TOKEN_MS / MAX_TOKEN_MS_RATIO;
        slope.clamp(lowest, INITIAL_TOKEN_MS * MAX_TOKEN_MS_RATIO)
    }

    /// Time until the answer starts, without the prefill, in milliseconds.
    pub fn overhead_ms(&self) -> f64 {
        let rest = self.sum_millis - self.token_ms() * self.sum_tokens;
        (rest / self.sum_weight).max(0.0)
    }

    /// Mean size of a prompt, in tokens.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Mean number of tokens to prefill per prompt.
    pub fn prefill_tokens(&self) -> f64 {
        self.prefill_tokens
    }

    /// Mean of the maximum answer lengths requested, in tokens.
    pub fn answer_tokens(&self) -> f64 {
        self.answer_tokens
    }
}
