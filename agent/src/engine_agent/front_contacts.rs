use {
    pitchhitch_core::{
        serving::{GrantAllocator, SendGrant},
        time::Micros,
    },
    pitchhitch_wire::engine_agent::{FrontGreeting, GreetingEcho},
    std::{collections::HashMap, net::SocketAddr},
};

/// Time for which a front that is not heard still gets digests, at least.
const MIN_FRONT_TTL: Micros = Micros::from_secs(5);
/// Time after which a front that greets no more is told which engine this is, at least: some
/// greetings of its pace may get lost.
const MIN_SILENCE: Micros = Micros::from_millis(1_500);
/// Greetings of its pace that a front may miss until then.
const MAX_MISSED_GREETINGS: u64 = 3;
/// Time for which a front that is not heard is remembered, and how many fronts there may be
/// for that. A box that stands still for longer is found by the list alone.
const FRONT_RETENTION: Micros = Micros::from_secs(60);
const MAX_FRONTS: usize = 256;

/// When a front was heard.
#[derive(Debug, Clone, Copy)]
struct FrontContact {
    received_at: Micros,
    /// When it greeted at the latest, as far as is proven: greetings wait while this box
    /// stands still.
    greeted_at: Micros,
    /// Time in which it said that it greets again.
    again_within: Micros,
    /// Number of its last greeting.
    number: u64,
}

impl FrontContact {
    fn ttl(&self) -> Micros {
        MIN_FRONT_TTL.max(Micros(self.again_within.0 * MAX_MISSED_GREETINGS))
    }

    fn is_silent(
        &self,
        now: Micros,
    ) -> bool {
        let limit = MIN_SILENCE.max(Micros(self.again_within.0 * MAX_MISSED_GREETINGS));
        now.since(self.greeted_at) >= limit
    }
}

/// Fronts that greet the process beside an engine.
#[derive(Debug, Default)]
pub(crate) struct FrontContacts {
    fronts: HashMap<SocketAddr, FrontContact>,
    has_start_limit: bool,
    grants: GrantAllocator<SocketAddr>,
}

impl FrontContacts {
    /// Notes a greeting that was on its way for `age` at most where that is known.
    pub fn record_greeting(
        &mut self,
        front: SocketAddr,
        greeting: &FrontGreeting,
        age: Option<Micros>,
        now: Micros,
    ) {
        let is_new = !self.fronts.contains_key(&front);
        if is_new && self.fronts.len() >= MAX_FRONTS {
            // Those that live are all told, however many; silent ones give way.
            self.fronts
                .retain(|_, contact| now.since(contact.received_at) < contact.ttl());
        }
        let known = self.fronts.get(&front);
        // A front that names no digest of ours yet has just come.
        let sent_at = match greeting.echo {
            None => now,
            Some(_) => age.map_or(Micros::ZERO, |age| now.since(age)),
        };
        let contact = FrontContact {
            received_at: now,
            greeted_at: known.map_or(sent_at, |known| known.greeted_at.max(sent_at)),
            again_within: greeting.again_within,
            number: greeting.number,
        };
        self.fronts.insert(front, contact);
    }

    /// Fronts that get digests.
    pub fn active(
        &mut self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.fronts
            .retain(|_, contact| now.since(contact.received_at) < FRONT_RETENTION);
        self.filter_fronts(|contact| now.since(contact.received_at) < contact.ttl())
    }

    /// Fronts that greet no more.
    pub fn silent(
        &self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.filter_fronts(|contact| contact.is_silent(now))
    }

    /// The last greeting of a front, with what it may send while the engine starts slowly.
    pub fn echo(
        &mut self,
        front: SocketAddr,
        active_fronts: usize,
        now: Micros,
    ) -> Option<GreetingEcho> {
        let contact = self.fronts.get(&front)?;
        let (number, age) = (contact.number, now.since(contact.received_at));
        let grant = match self.has_start_limit {
            true => self.grants.grant(front, active_fronts, now),
            false => SendGrant::default(),
        };
        Some(GreetingEcho { number, age, grant })
    }

    /// Takes how many requests a second the engine may get from all fronts while it starts
    /// slowly; 0 where it never does.
    pub fn set_start_limit(
        &mut self,
        limit: u32,
    ) {
        self.has_start_limit = limit > 0;
        self.grants.set_limit(limit);
    }

    fn filter_fronts(
        &self,
        predicate: impl Fn(&FrontContact) -> bool,
    ) -> Vec<SocketAddr> {
        let matching = self.fronts.iter().filter(|(_, contact)| predicate(contact));
        let mut fronts: Vec<SocketAddr> = matching.map(|(front, _)| *front).collect();
        fronts.sort_unstable();
        fronts
    }
}
