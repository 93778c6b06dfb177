use {
    super::{EndpointChoice, LatenessGauge, RankShares},
    crate::time::Micros,
    std::collections::HashMap,
};

/// Part of a request's aim that an engine may read for others first.
const AHEAD_PART: f64 = 0.6;
/// Tokens of prompts that may wait at an engine for memory: while more do, what
/// runs is put back and read again, and nothing is in time. Found by trial.
const WAITING_TOKENS: f64 = 14_000.0;
/// Size from which a prompt of the least urgent rank is refused where its memory is
/// not free, in tokens. It would be put back, or others for it: reading one such
/// prompt anew costs as much as it earns. Smaller ones fit in, or wait for a moment.
const LARGE_TOKENS: f64 = 4_000.0;
/// Weight of one request in the mean size of its route.
const SIZE_STEP: f64 = 0.05;

/// Decides which prompts are refused at once, because an engine would begin with
/// them too late: their callers do better to come back.
///
/// Sizes count by route, not by request: a large request of a kind has the same
/// chance as a small one.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRule {
    sizes: HashMap<String, f64>,
    gauge: LatenessGauge,
    ranks: RankShares,
}

impl AdmissionRule {
    /// Notes a prompt of a route and a rank.
    pub fn note(
        &mut self,
        route: &str,
        rank: u8,
        tokens: u32,
    ) {
        self.ranks.note(rank);
        let tokens = f64::from(tokens);
        match self.sizes.get_mut(route) {
            Some(size) => *size += (tokens - *size) * SIZE_STEP,
            None => {
                self.sizes.insert(route.to_string(), tokens);
            }
        }
    }

    /// Notes whether a prompt began in time, or never.
    pub fn note_begin(
        &mut self,
        is_late: bool,
    ) {
        self.gauge.note(is_late);
    }

    /// The part of the least urgent prompts that is refused for lateness.
    pub fn pressure(&self) -> f64 {
        self.gauge.pressure()
    }

    /// Whether a prompt of a rank is refused as others begin late: only where even
    /// the best engine for it has half of its places taken.
    pub fn sheds(
        &mut self,
        rank: u8,
        choice: &EndpointChoice,
    ) -> bool {
        choice.is_half_full && self.gauge.refuses(rank, self.ranks.lowest())
    }

    /// Whether a prompt of a route should be refused, if `choice` is the best
    /// engine for it.
    pub fn refuses(
        &self,
        route: &str,
        rank: u8,
        aim: Micros,
        choice: &EndpointChoice,
    ) -> bool {
        let size = self.sizes.get(route).copied().unwrap_or(1.0).max(1.0);
        let may_wait = (WAITING_TOKENS / size).max(1.0);
        let is_late = choice.ahead_ms > aim.as_millis() as f64 * AHEAD_PART;
        let lacks_memory = choice.free_tokens.is_some_and(|free| size > free as f64);
        // Engines let more urgent ones in first, and put others back for them.
        let is_last = size >= LARGE_TOKENS && rank >= self.ranks.lowest();
        is_late || (is_last && lacks_memory) || f64::from(choice.waiting) > may_wait
    }
}
