use {
    super::{sort_by_demand, OrganisationRate},
    crate::time::Micros,
    std::collections::{HashMap, VecDeque},
};

/// Length of a step in which tokens are counted, and the number of steps in the window. A front
/// with few prompts per second sees too few of an organisation in a shorter window.
const STEP_LENGTH: Micros = Micros::from_millis(500);
const WINDOW_STEPS: u64 = 8;
/// Maximum number of organisations in a step; further ones are not counted.
const MAX_ORGANISATIONS: usize = 512;
/// Shortest time by which tokens are divided, in seconds, while the window is not full.
const MIN_SECONDS: f64 = 1.0;

/// Memory of prompts that this front has admitted and refused by organisation, over a sliding
/// window of a few seconds.
#[derive(Debug, Clone, Default)]
pub struct AdmissionCounts {
    /// Number and counts of each step, the oldest first.
    steps: VecDeque<(u64, HashMap<u32, TokenCount>)>,
    first_at: Option<Micros>,
}

/// Tokens of an organisation's prompts.
#[derive(Debug, Clone, Copy, Default)]
struct TokenCount {
    admitted: u64,
    refused: u64,
}

impl AdmissionCounts {
    /// Records a prompt of an organisation.
    pub fn record(
        &mut self,
        organisation: u32,
        tokens: f64,
        is_admitted: bool,
        now: Micros,
    ) {
        self.first_at.get_or_insert(now);
        let step = now.0 / STEP_LENGTH.0;
        if self.steps.back().is_none_or(|(last, _)| *last < step) {
            self.steps.push_back((step, HashMap::new()));
        }
        while self
            .steps
            .front()
            .is_some_and(|(at, _)| at + WINDOW_STEPS <= step)
        {
            self.steps.pop_front();
        }
        let Some((_, counts)) = self.steps.back_mut() else {
            return;
        };
        if counts.len() >= MAX_ORGANISATIONS && !counts.contains_key(&organisation) {
            return;
        }
        let count = counts.entry(organisation).or_default();
        match is_admitted {
            true => count.admitted += tokens as u64,
            false => count.refused += tokens as u64,
        }
    }

    /// Rates of all organisations in the window, by descending demand.
    pub fn rates(
        &self,
        now: Micros,
    ) -> Vec<OrganisationRate> {
        let window = Micros(STEP_LENGTH.0 * WINDOW_STEPS).as_secs_f64();
        let running = now.since(self.first_at.unwrap_or(now)).as_secs_f64();
        let seconds = running.clamp(MIN_SECONDS, window);
        let rate = |tokens: u64| (tokens as f64 / seconds).round() as u32;
        let rates = self
            .window_sums(now)
            .into_iter()
            .map(|(organisation, sum)| OrganisationRate {
                organisation,
                admitted: rate(sum.admitted),
                refused: rate(sum.refused),
            });
        let mut rates: Vec<OrganisationRate> = rates.collect();
        sort_by_demand(&mut rates);
        rates
    }

    fn window_sums(
        &self,
        now: Micros,
    ) -> HashMap<u32, TokenCount> {
        let step = now.0 / STEP_LENGTH.0;
        let mut sums: HashMap<u32, TokenCount> = HashMap::new();
        let recent = self.steps.iter().filter(|(at, _)| at + WINDOW_STEPS > step);
        for (organisation, count) in recent.flat_map(|(_, counts)| counts) {
            let sum = sums.entry(*organisation).or_default();
            sum.admitted += count.admitted;
            sum.refused += count.refused;
        }
        sums
    }
}
