use std::collections::BTreeMap;

/// Which version of each model's weights an engine has, as far as is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightBelief {
    versions: BTreeMap<String, u64>,
}

impl WeightBelief {
    /// The version of a model.
    pub fn version(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Notes what an engine has; true where that is news.
    pub fn learn(
        &mut self,
        model: &str,
        version: u64,
    ) -> bool {
        if self.version(model) == Some(version) {
            return false;
        }
        self.versions.insert(model.to_string(), version);
        true
    }

    /// Takes what is known of another engine that may be meant as well: of each model
    /// the older version, and nothing where nothing is known of one of them.
    pub fn lower(
        &mut self,
        other: &WeightBelief,
    ) {
        if !other.is_known() {
            self.versions.clear();
        }
        if !self.is_known() {
            return;
        }
        for (model, version) in &other.versions {
            let known = self.versions.entry(model.clone()).or_insert(*version);
            *known = (*known).min(*version);
        }
    }

    /// Whether anything is known of the engine's weights.
    pub fn is_known(&self) -> bool {
        !self.versions.is_empty()
    }

    /// Whether the engine is known to serve a model.
    pub fn serves(
        &self,
        model: &str,
    ) -> bool {
        self.versions.contains_key(model)
    }
}
