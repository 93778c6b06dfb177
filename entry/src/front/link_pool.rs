use {
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{IdleState, TcpConnection},
    std::collections::HashMap,
};

/// Time for which an unused connection is kept where the endpoint does not say.
const USUAL_KEEP: Micros = Micros::from_secs(4);
/// Time before the endpoint's own limit at which a connection is not used any
/// more, so that a request does not cross its end.
const KEEP_MARGIN: Micros = Micros::from_millis(700);
/// Unused connections that are kept for one endpoint.
const KEPT_LINKS: usize = 64;

#[derive(Debug)]
struct IdleLink {
    link: TcpConnection,
    use_until: Micros,
}

/// Connections to endpoints that have no request on them.
#[derive(Debug, Default)]
pub(crate) struct LinkPool {
    idle: HashMap<EndpointKey, Vec<IdleLink>>,
}

impl LinkPool {
    /// Takes a connection that can be used, the one used last first.
    pub fn take(
        &mut self,
        key: EndpointKey,
        now: Micros,
    ) -> Option<TcpConnection> {
        let idle = self.idle.get_mut(&key)?;
        while let Some(mut kept) = idle.pop() {
            if now < kept.use_until && kept.link.idle_state() == IdleState::Reusable {
                return Some(kept.link);
            }
        }
        None
    }

    /// Whether a connection to an endpoint is open that can be used.
    pub fn has_open(
        &self,
        key: EndpointKey,
        now: Micros,
    ) -> bool {
        let idle = self.idle.get(&key);
        idle.is_some_and(|idle| idle.iter().any(|kept| now < kept.use_until))
    }

    /// Keeps a connection whose request is over.
    pub fn put(
        &mut self,
        key: EndpointKey,
        mut link: TcpConnection,
        keeps_for: Option<Micros>,
        now: Micros,
    ) {
        let idle = self.idle.entry(key).or_default();
        if idle.len() >= KEPT_LINKS || !link.buffer().is_empty() {
            return;
        }
        link.shrink_buffer();
        let keep = keeps_for.unwrap_or(USUAL_KEEP).since(KEEP_MARGIN);
        idle.push(IdleLink {
            link,
            use_until: now + keep,
        });
    }

    /// Closes what is too old, and all for endpoints that `is_known` denies.
    pub fn sweep(
        &mut self,
        now: Micros,
        is_known: impl Fn(EndpointKey) -> bool,
    ) {
        self.idle.retain(|key, idle| {
            idle.retain(|kept| now < kept.use_until);
            !idle.is_empty() && is_known(*key)
        });
    }

    /// Closes all connections to an endpoint.
    pub fn close_all(
        &mut self,
        key: EndpointKey,
    ) {
        self.idle.remove(&key);
    }
}
