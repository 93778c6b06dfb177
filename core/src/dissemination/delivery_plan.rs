use std::collections::BTreeMap;

/// Number of relays in a failure domain for each engine, so that one may fail.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Number of receivers in another failure domain from which on relays are used. They save all but
/// two messages to that domain, but each receiver there gets two in place of one, a pause later.
const MIN_RELAYED_RECEIVERS: usize = 16;

/// Receivers of one failure domain, and the relays there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainDelivery<R> {
    /// Boxes that pass the message on to all receivers of their domain.
    pub relays: Vec<R>,
    /// Receivers that the message is meant for.
    pub receivers: Vec<R>,
}

/// How a message reaches its receivers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeliveryPlan<R> {
    /// Receivers that it is sent to directly.
    pub direct: Vec<R>,
    /// Failure domains in which relays pass it on.
    pub relayed: Vec<DomainDelivery<R>>,
}

impl<R> DeliveryPlan<R> {
    /// Number of messages that are sent.
    pub fn message_count(&self) -> usize {
        let relays = self.relayed.iter().map(|domain| domain.relays.len());
        self.direct.len() + relays.sum::<usize>()
    }
}

/// Plans how a message reaches receivers in several failure domains. `relays` are the known relays
/// by domain; the sender's own domain gets its messages directly.
pub fn plan_delivery<R: Copy, D: Ord>(
    receivers: impl IntoIterator<Item = (R, D)>,
    relays: &BTreeMap<D, Vec<R>>,
    own_domain: &D,
) -> DeliveryPlan<R> {
    let mut by_domain: BTreeMap<D, Vec<R>> = BTreeMap::new();
    for (receiver, domain) in receivers {
        by_domain.entry(domain).or_default().push(receiver);
    }
    let mut plan = DeliveryPlan {
        direct: Vec::new(),
        relayed: Vec::new(),
    };
    for (domain, receivers) in by_domain {
        let known = relays.get(&domain).filter(|relays| !relays.is_empty());
        match known.filter(|_| domain != *own_domain && uses_relays(receivers.len())) {
            Some(relays) => plan.relayed.push(DomainDelivery {
                relays: relays.iter().copied().take(RELAYS_PER_DOMAIN).collect(),
                receivers,
            }),
            None => plan.direct.extend(receivers),
        }
    }
    plan
}

/// Whether messages to this many receivers of another failure domain are relayed.
pub fn uses_relays(receivers: usize) -> bool {
    receivers >= MIN_RELAYED_RECEIVERS
}
