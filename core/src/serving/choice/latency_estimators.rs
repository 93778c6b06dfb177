use crate::serving::{EnginePool, LatencyEstimator, MechanismSet, PromptInfo, PromptSize};

/// Latency estimators by size class of the prompts. Engines start short prompts while long ones
/// wait for memory: with one estimator for both, short prompts were refused as too late at engines
/// that start them at once.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimators {
    short: LatencyEstimator,
    long: LatencyEstimator,
}

impl LatencyEstimators {
    /// Estimators in their initial state with some mechanisms disabled.
    pub fn without(disabled: MechanismSet) -> Self {
        LatencyEstimators {
            short: LatencyEstimator::without(disabled),
            long: LatencyEstimator::without(disabled),
        }
    }

    /// Estimator for prompts of this size class.
    pub fn get(
        &self,
        size: PromptSize,
    ) -> &LatencyEstimator {
        match size {
            PromptSize::Short => &self.short,
            PromptSize::Long => &self.long,
        }
    }

    /// Estimator for prompts of this size class, to record observations.
    pub fn get_mut(
        &mut self,
        size: PromptSize,
    ) -> &mut LatencyEstimator {
        match size {
            PromptSize::Short => &mut self.short,
            PromptSize::Long => &mut self.long,
        }
    }

    /// Records a prompt that is sent to an engine of a pool. Where a service has no pools, both
    /// sizes wait in the same queues: the mean sizes are then those of all prompts.
    pub fn record_sent(
        &mut self,
        size: PromptSize,
        pool: EnginePool,
        prompt: &PromptInfo,
        prefill_tokens: u32,
    ) {
        for other in [PromptSize::Short, PromptSize::Long] {
            if other == size || pool == EnginePool::Shared {
                let estimator = self.get_mut(other);
                estimator.record_sent(prompt.tokens_in, prefill_tokens, prompt.tokens_out);
            }
        }
    }

    /// Records a report of an engine: the number of prompts that it has not started to answer.
    pub fn record_report(
        &mut self,
        unstarted: u32,
    ) {
        self.short.record_report(unstarted);
        self.long.record_report(unstarted);
    }
}
