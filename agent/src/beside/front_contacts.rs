use {
    pitchhitch_core::{
        serving::{GrantAllocator, SendGrant},
        time::Micros,
    },
    pitchhitch_wire::beside::{FrontHello, GreetingEcho},
    std::{collections::HashMap, net::SocketAddr},
};

/// Time for which a front that is not heard still gets digests, at least.
const FRONT_LIFE: Micros = Micros::from_secs(5);
/// Time after which a front that greets no more is told which engine this is, at least: some
/// greetings of its pace may get lost.
const SILENT_AFTER: Micros = Micros::from_millis(1_500);
/// Greetings of its pace that a front may miss until then.
const GREETINGS_MISSED: u64 = 3;
/// Time for which a front that is not heard is remembered, and how many fronts there may be
/// for that. A box that stands still for longer is found by the list alone.
const REMEMBER_FRONT: Micros = Micros::from_secs(60);
const FRONTS_LIMIT: usize = 256;

/// When a front was heard.
#[derive(Debug, Clone, Copy)]
struct FrontContact {
    heard_at: Micros,
    /// When it greeted at the latest, as far as is proven: greetings wait while this box
    /// stands still.
    greeted_at: Micros,
    /// Time in which it said that it greets again.
    again_within: Micros,
    /// Number of its last greeting.
    number: u64,
}

impl FrontContact {
    fn life(&self) -> Micros {
        FRONT_LIFE.max(Micros(self.again_within.0 * GREETINGS_MISSED))
    }

    fn is_silent(
        &self,
        now: Micros,
    ) -> bool {
        let limit = SILENT_AFTER.max(Micros(self.again_within.0 * GREETINGS_MISSED));
        now.since(self.greeted_at) >= limit
    }
}

/// Fronts that greet the process beside an engine.
#[derive(Debug, Default)]
pub(crate) struct FrontContacts {
    fronts: HashMap<SocketAddr, FrontContact>,
    limits_starts: bool,
    grants: GrantAllocator<SocketAddr>,
}

impl FrontContacts {
    /// Notes a greeting that was on its way for `age` at most where that is known.
    pub fn heard(
        &mut self,
        front: SocketAddr,
        hello: &FrontHello,
        age: Option<Micros>,
        now: Micros,
    ) {
        let is_new = !self.fronts.contains_key(&front);
        if is_new && self.fronts.len() >= FRONTS_LIMIT {
            // Those that live are all told, however many; silent ones give way.
            self.fronts
                .retain(|_, contact| now.since(contact.heard_at) < contact.life());
        }
        let known = self.fronts.get(&front);
        // A front that names no digest of ours yet has just come.
        let proven_at = match hello.echo {
            None => now,
            Some(_) => age.map_or(Micros::ZERO, |age| now.since(age)),
        };
        let contact = FrontContact {
            heard_at: now,
            greeted_at: known.map_or(proven_at, |known| known.greeted_at.max(proven_at)),
            again_within: hello.again_within,
            number: hello.number,
        };
        self.fronts.insert(front, contact);
    }

    /// Fronts that get digests.
    pub fn listening(
        &mut self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.fronts
            .retain(|_, contact| now.since(contact.heard_at) < REMEMBER_FRONT);
        self.fronts_where(|contact| now.since(contact.heard_at) < contact.life())
    }

    /// Fronts that greet no more.
    pub fn silent(
        &self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.fronts_where(|contact| contact.is_silent(now))
    }

    /// The last greeting of a front, with what it may send while the engine starts slowly.
    pub fn echo(
        &mut self,
        front: SocketAddr,
        listening: usize,
        now: Micros,
    ) -> Option<GreetingEcho> {
        let contact = self.fronts.get(&front)?;
        let (number, age) = (contact.number, now.since(contact.heard_at));
        let grant = match self.limits_starts {
            true => self.grants.grant(front, listening, now),
            false => SendGrant::default(),
        };
        Some(GreetingEcho { number, age, grant })
    }

    /// Takes how many requests a second the engine may get from all fronts while it starts
    /// slowly; 0 where it never does.
    pub fn limit_starts(
        &mut self,
        limit: u32,
    ) {
        self.limits_starts = limit > 0;
        self.grants.set_limit(limit);
    }

    fn fronts_where(
        &self,
        holds: impl Fn(&FrontContact) -> bool,
    ) -> Vec<SocketAddr> {
        let fitting = self.fronts.iter().filter(|(_, contact)| holds(contact));
        let mut fronts: Vec<SocketAddr> = fitting.map(|(front, _)| *front).collect();
        fronts.sort_unstable();
        fronts
    }
}
