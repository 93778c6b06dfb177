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
const ROUNDS_LIMIT: usize = 128;

/// Whom this front has greeted, and when.
#[derive(Debug, Default)]
pub(crate) struct GreetingPlan {
    greeted: BTreeMap<SocketAddr, Micros>,
    /// Numbers of rounds, and when they began.
    rounds: VecDeque<(u64, Micros)>,
    round: u64,
    wants_all: bool,
}

impl GreetingPlan {
    /// Greets all in the next round.
    pub fn want_all(&mut self) {
        self.wants_all = true;
    }

    /// Greets one in the next round.
    pub fn want(
        &mut self,
        to: SocketAddr,
    ) {
        self.greeted.remove(&to);
    }

    /// Begins a round; its number.
    pub fn begin_round(
        &mut self,
        now: Micros,
    ) -> u64 {
        if std::mem::take(&mut self.wants_all) {
            self.greeted.clear();
        }
        if self.rounds.len() >= ROUNDS_LIMIT {
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
        let pause = match is_urgent {
            true => urgent_greeting_interval(),
            false => greeting_interval(engines),
        };
        let greeted_at = self.greeted.get(&to);
        greeted_at.is_none_or(|at| now.since(*at) >= pause)
    }

    /// Notes that somebody is greeted now.
    pub fn note(
        &mut self,
        to: SocketAddr,
        now: Micros,
    ) {
        self.greeted.insert(to, now);
    }

    /// Forgets whom `is_there` denies.
    pub fn prune(
        &mut self,
        is_there: impl Fn(&SocketAddr) -> bool,
    ) {
        self.greeted.retain(|to, _| is_there(to));
    }

    /// When a round began, where that is remembered.
    pub fn began_at(
        &self,
        round: u64,
    ) -> Option<Micros> {
        let found = self.rounds.iter().find(|(number, _)| *number == round);
        found.map(|(_, at)| *at)
    }
}
