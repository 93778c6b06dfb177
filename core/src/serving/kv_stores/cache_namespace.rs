use crate::serving::NamespaceTag;

/// Namespace in which prompt parts are shared: the weights of one version, and a group of
/// organisations or a single one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheNamespace {
    /// Version of the weights.
    pub version: u64,
    /// Model.
    pub model: String,
    /// Organisation, if it shares with no other.
    pub organisation: Option<String>,
    /// Tag of the group of organisations that share; 0 for a single one, or if none is configured.
    pub group: u64,
}

impl CacheNamespace {
    /// Cache salt of the namespace.
    pub fn salt(&self) -> String {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        let (version, model) = (self.version, &self.model);
        match self.group {
            0 => format!("{version}/{model}/{organisation}"),
            group => format!("{version}.{group:x}/{model}/{organisation}"),
        }
    }

    /// Parses a cache salt; `None` if it has another format.
    pub fn parse(salt: &str) -> Option<Self> {
        let mut fields = salt.splitn(3, '/');
        let first = fields.next()?;
        let (version, group) = first.split_once('.').unwrap_or((first, "0"));
        let version = version.parse().ok()?;
        let group = u64::from_str_radix(group, 16).ok()?;
        let model = fields.next()?.to_string();
        let organisation = fields.next()?;
        Some(CacheNamespace {
            version,
            model,
            organisation: (!organisation.is_empty()).then(|| organisation.to_string()),
            group,
        })
    }

    /// Hash of the salt.
    pub fn tag(&self) -> NamespaceTag {
        NamespaceTag::of(&self.salt())
    }
}
