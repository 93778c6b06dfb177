use {
    pitchhitch_core::{
        serving::{greeting_interval, urgent_greeting_interval},
        time::Micros,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// Maximum number of rounds with a recorded start time. A digest that echoes an earlier round is
/// too old to prove anything.
const MAX_ROUNDS: usize = 128;

/// Tracks when each engine agent was last greeted.
#[derive(Debug, Default)]
pub(crate) struct GreetingSchedule {
    sent_at: BTreeMap<SocketAddr, Micros>,
    /// Numbers and start times of rounds.
    rounds: VecDeque<(u64, Micros)>,
    round: u64,
    is_all_requested: bool,
}

impl GreetingSchedule {
    /// Makes greetings to all agents due in the next round.
    pub fn request_all(&mut self) {
        self.is_all_requested = true;
    }

    /// Makes a greeting to one agent due in the next round.
    pub fn request(
        &mut self,
        to: SocketAddr,
    ) {
        self.sent_at.remove(&to);
    }

    /// Begins a round and returns its number.
    pub fn begin_round(
        &mut self,
        now: Micros,
    ) -> u64 {
        if std::mem::take(&mut self.is_all_requested) {
            self.sent_at.clear();
        }
        if self.rounds.len() >= MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.round += 1;
        self.rounds.push_back((self.round, now));
        self.round
    }

    /// Whether a greeting to an agent is due; `engines` is the number of engines.
    pub fn is_due(
        &self,
        to: SocketAddr,
        engines: usize,
        is_urgent: bool,
        now: Micros,
    ) -> bool {
        let interval = match is_urgent {
            true => urgent_greeting_interval(),
            false => greeting_interval(engines),
        };
        let last_sent_at = self.sent_at.get(&to);
        last_sent_at.is_none_or(|at| now.since(*at) >= interval)
    }

    /// Records that a greeting is sent now.
    pub fn record_sent(
        &mut self,
        to: SocketAddr,
        now: Micros,
    ) {
        self.sent_at.insert(to, now);
    }

    /// Removes the addresses for which `is_known` is false.
    pub fn prune(
        &mut self,
        is_known: impl Fn(&SocketAddr) -> bool,
    ) {
        self.sent_at.retain(|to, _| is_known(to));
    }

    /// Start time of a round, if it is still recorded.
    pub fn started_at(
        &self,
        round: u64,
    ) -> Option<Micros> {
        let found = self.rounds.iter().find(|(number, _)| *number == round);
        found.map(|(_, at)| *at)
    }
}
