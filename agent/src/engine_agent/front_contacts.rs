use {
    pitchhitch_core::{
        dissemination::{plan_delivery, DeliveryPlan},
        serving::{GrantAllocator, SendGrant},
        time::Micros,
    },
    pitchhitch_wire::engine_agent::{FrontGreeting, GreetingEcho},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// Minimum time after the last greeting for which a front still receives digests.
const MIN_FRONT_TTL: Micros = Micros::from_secs(5);
/// Minimum time without greetings after which the engine is announced to a front; some greetings
/// may get lost.
const MIN_SILENCE: Micros = Micros::from_millis(1_500);
/// Both times are at least this many greeting intervals, as announced by the front.
const MAX_MISSED_GREETINGS: u64 = 3;
/// Time after the last greeting for which a front is tracked, and the number of fronts above which
/// inactive ones are removed earlier. After a longer pause of this box, fronts find the engine only
/// in the platform's endpoint list.
const FRONT_RETENTION: Micros = Micros::from_secs(60);
const MAX_FRONTS: usize = 256;

/// Time for which the relays that a front named are used. Relays are used only for domains with
/// many fronts, so they are named several times a second.
const RELAY_TTL: Micros = Micros::from_secs(2);

/// Latest greeting of a front.
#[derive(Debug, Clone)]
struct FrontContact {
    domain: String,
    received_at: Micros,
    /// Lower bound of the time when the latest greeting was sent: greetings wait in the socket
    /// while this box is paused.
    greeted_at: Micros,
    /// Time within which the front announced its next greeting.
    again_within: Micros,
    /// Sequence number of the latest greeting.
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

/// Fronts that send greetings to the agent of an engine.
#[derive(Debug, Default)]
pub(crate) struct FrontContacts {
    fronts: HashMap<SocketAddr, FrontContact>,
    /// Relays by failure domain, and when they were last named.
    relays: BTreeMap<String, (Vec<SocketAddr>, Micros)>,
    has_start_limit: bool,
    grants: GrantAllocator<SocketAddr>,
}

impl FrontContacts {
    /// Records a greeting that was sent at most `age` ago, if that is known.
    pub fn record_greeting(
        &mut self,
        front: SocketAddr,
        greeting: &FrontGreeting,
        age: Option<Micros>,
        now: Micros,
    ) {
        let is_new = !self.fronts.contains_key(&front);
        if is_new && self.fronts.len() >= MAX_FRONTS {
            // All active fronts receive digests, regardless of their number; inactive ones are
            // removed.
            self.fronts
                .retain(|_, contact| now.since(contact.received_at) < contact.ttl());
        }
        let known = self.fronts.get(&front);
        // A front that has not received any of our digests has just started.
        let sent_at = match greeting.echo {
            None => now,
            Some(_) => age.map_or(Micros::ZERO, |age| now.since(age)),
        };
        if !greeting.relays.is_empty() {
            let named = (greeting.relays.clone(), now);
            self.relays.insert(greeting.domain.clone(), named);
        }
        let contact = FrontContact {
            domain: greeting.domain.clone(),
            received_at: now,
            greeted_at: known.map_or(sent_at, |known| known.greeted_at.max(sent_at)),
            again_within: greeting.again_within,
            number: greeting.number,
        };
        self.fronts.insert(front, contact);
    }

    /// Active fronts, which receive digests.
    pub fn active(
        &mut self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.fronts
            .retain(|_, contact| now.since(contact.received_at) < FRONT_RETENTION);
        self.filter_fronts(|contact| now.since(contact.received_at) < contact.ttl())
    }

    /// How a digest reaches these fronts from an agent in `own_domain`.
    pub fn plan_delivery(
        &mut self,
        fronts: &[SocketAddr],
        own_domain: &str,
        now: Micros,
    ) -> DeliveryPlan<SocketAddr> {
        self.relays
            .retain(|_, (_, named_at)| now.since(*named_at) < RELAY_TTL);
        // Grants of a slow start would have expired by the time that a relay has passed them on.
        let relays = self.relays.iter().filter(|_| !self.has_start_limit);
        let relays: BTreeMap<&str, Vec<SocketAddr>> = relays
            .map(|(domain, (relays, _))| (domain.as_str(), relays.clone()))
            .collect();
        let domain_of = |front: &SocketAddr| {
            let contact = self.fronts.get(front);
            contact.map_or(own_domain, |contact| contact.domain.as_str())
        };
        let receivers = fronts.iter().map(|front| (*front, domain_of(front)));
        plan_delivery(receivers, &relays, &own_domain)
    }

    /// Active fronts of a failure domain.
    pub fn active_in(
        &self,
        domain: &str,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.filter_fronts(|contact| {
            contact.domain == domain && now.since(contact.received_at) < contact.ttl()
        })
    }

    /// Fronts that no longer greet.
    pub fn silent(
        &self,
        now: Micros,
    ) -> Vec<SocketAddr> {
        self.filter_fronts(|contact| contact.is_silent(now))
    }

    /// Echo of a front's latest greeting, with the request rate granted to it while the engine is
    /// in slow start.
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

    /// Sets the requests per second that all fronts together may send to the engine in slow start;
    /// 0 if it has no slow start.
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
