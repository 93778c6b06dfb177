use crate::serving::NamespaceTag;

/// Namespace in which prompt parts are shared: the weights of one version, and one organisation if
/// it is isolated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheNamespace {
    /// Version of the weights.
    pub version: u64,
    /// Model.
    pub model: String,
    /// Organisation, if it is isolated.
    pub organisation: Option<String>,
}

impl CacheNamespace {
    /// Cache salt of the namespace.
    pub fn salt(&self) -> String {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        format!("{}/{}/{}", self.version, self.model, organisation)
    }

    /// Parses a cache salt; `None` if it has another format.
    pub fn parse(salt: &str) -> Option<Self> {
        let mut fields = salt.splitn(3, '/');
        let version = fields.next()?.parse().ok()?;
        let model = fields.next()?.to_string();
        let organisation = fields.next()?;
        Some(CacheNamespace {
            version,
            model,
            organisation: (!organisation.is_empty()).then(|| organisation.to_string()),
        })
    }

    /// Hash of the salt.
    pub fn tag(&self) -> NamespaceTag {
        NamespaceTag::of(&self.salt())
    }
}
