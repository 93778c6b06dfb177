use super::NamespaceTag;

/// The wall inside which parts of prompts are shared: weights of one version,
/// and one organisation where that shares with nobody.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheNamespace {
    /// Version of the weights.
    pub version: u64,
    /// Model.
    pub model: String,
    /// Organisation that shares with nobody.
    pub organisation: Option<String>,
}

impl CacheNamespace {
    /// The wall as a salt.
    pub fn salt(&self) -> String {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        format!("{}/{}/{}", self.version, self.model, organisation)
    }

    /// Reads a salt of ours; `None` where it is not one.
    pub fn parse(salt: &str) -> Option<Self> {
        let mut words = salt.splitn(3, '/');
        let version = words.next()?.parse().ok()?;
        let model = words.next()?.to_string();
        let organisation = words.next()?;
        Some(CacheNamespace {
            version,
            model,
            organisation: (!organisation.is_empty()).then(|| organisation.to_string()),
        })
    }

    /// Tag of the salt.
    pub fn tag(&self) -> NamespaceTag {
        NamespaceTag::of(&self.salt())
    }
}
