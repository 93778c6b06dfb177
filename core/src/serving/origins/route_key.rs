use {
    crate::serving::{mix_hashes, stable_hash, ServedRoute},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Identifies a route by host and path prefix, across configurations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    host: String,
    prefix: String,
}

impl RouteKey {
    /// Key of a route.
    pub fn of(route: &ServedRoute) -> Self {
        RouteKey::new(&route.host, &route.prefix)
    }

    /// Positions of routes by key.
    pub fn index(routes: &[ServedRoute]) -> BTreeMap<Self, usize> {
        let keys = routes.iter().map(RouteKey::of);
        keys.zip(0..).collect()
    }

    /// Key of the route with this host and path prefix.
    pub fn new(
        host: &str,
        prefix: &str,
    ) -> Self {
        RouteKey {
            host: host.to_string(),
            prefix: prefix.to_string(),
        }
    }

    /// Whether requests of one route may have belonged to the other one in another configuration.
    pub fn overlaps(
        &self,
        other: &RouteKey,
    ) -> bool {
        self.is_within(other) || other.is_within(self)
    }

    /// Whether all paths of this route have the prefix of the other one. In the order of keys, the
    /// routes within a route follow it at once.
    pub fn is_within(
        &self,
        other: &RouteKey,
    ) -> bool {
        self.host == other.host && self.prefix.starts_with(&other.prefix)
    }
}

/// A name of fixed length; the same on all boxes.
impl fmt::Display for RouteKey {
    fn fmt(
        &self,
        out: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        let hash = mix_hashes(stable_hash(&self.host), stable_hash(&self.prefix));
        write!(out, "{hash:016x}")
    }
}
