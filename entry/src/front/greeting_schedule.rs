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

/// Rounds of greetings whose time is remembered: a digest that names an earlier one is too old
/// to prove anything.
const MAX_ROUNDS: usize = 128;

/// Whom this front has greeted, and when.
#[derive(Debug, Default)]
pub(crate) struct GreetingSchedule {
    sent_at: BTreeMap<SocketAddr, Micros>,
    /// Numbers of rounds, and when they began.
    rounds: VecDeque<(u64, Micros)>,
    round: u64,
    is_all_requested: bool,
}

impl GreetingSchedule {
    /// Greets all in the next round.
    pub fn request_all(&mut self) {
        self.is_all_requested = true;
    }

    /// Greets one in the next round.
    pub fn request(
        &mut self,
        to: SocketAddr,
    ) {
        self.sent_at.remove(&to);
    }

    /// Begins a round; its number.
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

    /// Whether it is time to greet somebody, one of so many.
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

    /// Notes that somebody is greeted now.
    pub fn record_sent(
        &mut self,
        to: SocketAddr,
        now: Micros,
    ) {
        self.sent_at.insert(to, now);
    }

    /// Forgets whom `is_there` denies.
    pub fn prune(
        &mut self,
        is_known: impl Fn(&SocketAddr) -> bool,
    ) {
        self.sent_at.retain(|to, _| is_known(to));
    }

    /// When a round began, where that is remembered.
    pub fn started_at(
        &self,
        round: u64,
    ) -> Option<Micros> {
        let found = self.rounds.iter().find(|(number, _)| *number == round);
        found.map(|(_, at)| *at)
    }
}
