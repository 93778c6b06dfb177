use {
    super::EngineAgentState,
    pitchhitch_core::serving::{name_runs, NamedRun, NamingInput},
};

impl EngineAgentState {
    /// Whether the engine at the address is leaving, as fronts report it.
    pub fn is_leaving(&self) -> bool {
        let leaving = self.leaving.as_ref().map(|(id, _)| id);
        leaving.is_some() && leaving == self.engine_id.as_ref()
    }

    /// Runs that are to be moved to other engines.
    pub fn named_runs(&self) -> Vec<NamedRun> {
        name_runs(&NamingInput {
            runs: &self.runs,
            load: &self.load,
            growth_per_s: self.growth_tracker.tokens_per_s(),
            is_leaving: self.is_leaving(),
            // The engine executes an order after its runs have ended.
            is_swap_due: self.load.is_swapping && self.needs_order(),
        })
    }
}
