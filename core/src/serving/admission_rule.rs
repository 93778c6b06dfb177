use {
    super::{
        AdmissionAsk, AdmissionVerdict, EndpointChoice, EnginePace, MechanismSet, RankShares,
        RouteHabits, ServingMechanism,
    },
    crate::time::Micros,
    std::collections::HashMap,
};

/// Part of a prompt's aim within which it must begin by the estimate, the reading
/// of a usual prompt of its route included. Estimates miss by some hundred
/// milliseconds; those that begin late take the time of those that would not.
const BEGIN_PART: f64 = 0.6;
/// The same for a caller that was refused before: it goes before who comes first
/// now, as a second refusal is worth less than a first.
const RETURN_BEGIN_PART: f64 = 1.0;
/// Part of the aim that may always be spent before the reading begins: where the
/// reading alone takes most of the aim, a refusal would not help anybody.
const LEAST_QUEUE_PART: f64 = 0.25;
/// Part of an engine's memory that prompts may wait for: while more do, what runs
/// is put back and read again, and nothing is in time.
const WAITING_PART: f64 = 0.2;
/// Part of what an engine keeps of a prompt already for which no memory must be free:
/// other runs hold some of it, and nothing of it has to be read. Prompts that come
/// back to such an engine are let in before those that would push out what is kept:
/// 0.761 in place of 0.751 of the worth of ten replayed days (9 engines); with all of
/// it 0.761 too, but on 52 engines, short of memory, 0.702 in place of 0.712.
const KEPT_PART: f64 = 0.6;
/// Weight of one large prompt in the part that found no memory.
const MEMORY_STEP: f64 = 0.03;
/// Part of the large prompts that may find no memory before some is kept back:
/// short crowds pass, and filled memory serves them best.
const LACKING_PART: f64 = 0.35;
/// Part of the memory that is kept back for each part of the large prompts that
/// finds none beyond that. Where most are refused anyway, engines that are less
/// full answer sooner, keep more parts and serve more: with four times the large
/// prompts, 625 in time in place of 534, and 1,040 thousand tokens read again in
/// place of 2,550 thousand.
const KEPT_BACK: f64 = 0.7;
/// Shortest and longest time after which a refused caller is asked back, in
/// milliseconds: the way to another box, and the order of the longest queues.
const SHORTEST_RETURN_MS: f64 = 40.0;
const LONGEST_RETURN_MS: f64 = 2_000.0;
/// When refused callers are asked back where that is not worked out.
const FIXED_RETURN: Micros = Micros::from_millis(500);

/// Decides which prompts are refused at once, because an engine would begin with
/// them too late: their callers do better to come back.
///
/// The load that it answers: for seconds more prompts come than engines read or
/// have memory for. Each that is let in beyond that makes all others later. Sizes
/// count by route, not by request: a large request of a kind has the same chance
/// as a small one.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRule {
    routes: HashMap<String, RouteHabits>,
    lacking_part: f64,
    ranks: RankShares,
    left_out: MechanismSet,
}

impl AdmissionRule {
    /// A rule that does without some mechanisms.
    pub fn without(left_out: MechanismSet) -> Self {
        AdmissionRule {
            left_out,
            ..AdmissionRule::default()
        }
    }

    /// Notes a prompt that came: its size and what has to be read of it, in tokens.
    pub fn note(
        &mut self,
        ask: &AdmissionAsk<'_>,
        tokens: u32,
        unread: u32,
    ) {
        self.ranks.note(ask.rank);
        if !self.routes.contains_key(ask.route) {
            self.routes
                .insert(ask.route.to_string(), RouteHabits::default());
        }
        if let Some(habits) = self.routes.get_mut(ask.route) {
            habits.note(tokens, unread, ask.patience);
        }
    }

    /// The part of the large prompts that finds no memory.
    pub fn lacking_part(&self) -> f64 {
        self.lacking_part
    }

    /// Decides about a prompt, if `choice` is the best engine for it.
    pub fn judge(
        &mut self,
        ask: &AdmissionAsk<'_>,
        pace: &EnginePace,
        choice: &EndpointChoice,
    ) -> AdmissionVerdict {
        if self.left_out.has(ServingMechanism::Admission) {
            return AdmissionVerdict::Admitted;
        }
        if self.is_late(ask, pace, choice) || self.waits_long(ask, choice) {
            return AdmissionVerdict::TooLate;
        }
        if self.needs_free_memory(ask, pace) {
            let lacks_memory = self.lacks_memory(ask, choice);
            let seen = if lacks_memory { 1.0 } else { 0.0 };
            self.lacking_part += (seen - self.lacking_part) * MEMORY_STEP;
            if lacks_memory {
                return AdmissionVerdict::NoMemory;
            }
        }
        AdmissionVerdict::Admitted
    }

    /// Whether the prompt would begin too late. An engine that has nothing else to
    /// read takes any: what it makes of them shows when the trouble is over.
    fn is_late(
        &self,
        ask: &AdmissionAsk<'_>,
        pace: &EnginePace,
        choice: &EndpointChoice,
    ) -> bool {
        let has_queue = choice.ahead_tokens > 0.0 || choice.waiting > 0;
        has_queue && choice.queue_ms > self.longest_queue_ms(ask, pace)
    }

    fn longest_queue_ms(
        &self,
        ask: &AdmissionAsk<'_>,
        pace: &EnginePace,
    ) -> f64 {
        if self.left_out.has(ServingMechanism::LateRule) {
            return f64::INFINITY;
        }
        let habits = self.routes.get(ask.route);
        let read_ms = habits.map_or(0.0, RouteHabits::unread) * pace.token_ms();
        let part = match self.is_return(ask) {
            true => RETURN_BEGIN_PART,
            false => BEGIN_PART,
        };
        let aim_ms = ask.aim.as_millis() as f64;
        (aim_ms * part - read_ms).max(aim_ms * LEAST_QUEUE_PART)
    }

    fn is_return(
        &self,
        ask: &AdmissionAsk<'_>,
    ) -> bool {
        let habits = self.routes.get(ask.route);
        let is_return = habits.is_some_and(|habits| habits.is_return(ask.patience));
        is_return && !self.left_out.has(ServingMechanism::ReturnOrder)
    }

    fn tokens(
        &self,
        ask: &AdmissionAsk<'_>,
    ) -> f64 {
        self.routes.get(ask.route).map_or(1.0, RouteHabits::tokens)
    }

    fn waits_long(
        &self,
        ask: &AdmissionAsk<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let room = choice.total_tokens as f64 * WAITING_PART;
        let waits_long = f64::from(choice.waiting) > (room / self.tokens(ask)).max(1.0);
        waits_long && !self.left_out.has(ServingMechanism::WaitingRule)
    }

    /// Large prompts of the least urgent rank would be put back, or others for
    /// them, where their memory is not free: reading one anew costs as much as it
    /// earns. Smaller ones fit in, or wait for a moment; more urgent ones are let
    /// in first.
    fn needs_free_memory(
        &self,
        ask: &AdmissionAsk<'_>,
        pace: &EnginePace,
    ) -> bool {
        self.tokens(ask) >= pace.prompt_tokens() && ask.rank >= self.ranks.lowest()
    }

    fn lacks_memory(
        &self,
        ask: &AdmissionAsk<'_>,
        choice: &EndpointChoice,
    ) -> bool {
        let kept = match self.left_out.has(ServingMechanism::KeptMemory) {
            true => 0.0,
            false => f64::from(choice.plan.cached_tokens) * KEPT_PART,
        };
        let wanted = (self.tokens(ask) - kept).max(0.0) + self.kept_back(ask, choice);
        self.free_tokens(choice)
            .is_some_and(|free| wanted > free as f64)
    }

    /// Memory that is kept back from the prompt, in tokens.
    fn kept_back(
        &self,
        ask: &AdmissionAsk<'_>,
        choice: &EndpointChoice,
    ) -> f64 {
        if self.is_return(ask) || self.left_out.has(ServingMechanism::KeptBack) {
            return 0.0;
        }
        let beyond = (self.lacking_part - LACKING_PART).max(0.0);
        choice.total_tokens as f64 * KEPT_BACK * beyond
    }

    /// Memory that is free for prompts, in tokens, where that is known and counts.
    fn free_tokens(
        &self,
        choice: &EndpointChoice,
    ) -> Option<u64> {
        match self.left_out.has(ServingMechanism::MemoryRule) {
            true => None,
            false => choice.free_tokens,
        }
    }

    /// When a refused caller should come back: once the queue is short enough, or
    /// the memory is free, as far as engines tell. `spread` from 0 to 1 keeps those
    /// that are refused together from coming back together.
    pub fn come_back(
        &self,
        ask: &AdmissionAsk<'_>,
        pace: &EnginePace,
        choice: &EndpointChoice,
        spread: f64,
    ) -> Micros {
        if self.left_out.has(ServingMechanism::ComeBack) {
            return FIXED_RETURN;
        }
        let queue_ms = choice.queue_ms - self.longest_queue_ms(ask, pace);
        let free = self
            .free_tokens(choice)
            .map_or(f64::MAX, |free| free as f64);
        let lacking = (self.tokens(ask) - free).max(0.0);
        let memory_ms = lacking * pace.memory_ms(choice.used_tokens);
        let millis = queue_ms.max(memory_ms) * (1.0 + spread);
        Micros((millis.clamp(SHORTEST_RETURN_MS, LONGEST_RETURN_MS) * 1_000.0) as u64)
    }
}
