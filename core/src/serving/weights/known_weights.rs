use std::collections::BTreeMap;

/// Version of each model's weights that an engine is believed to have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownWeights {
    versions: BTreeMap<String, u64>,
}

impl KnownWeights {
    /// Version of a model, if known.
    pub fn version(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Records the version that an engine has. Returns true if it is new.
    pub fn set_version(
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

    /// Merges the weights of another engine that has or had the same address: keeps the older
    /// version of each model, or nothing if the weights of one of the two engines are unknown.
    pub fn merge_oldest(
        &mut self,
        other: &KnownWeights,
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

    /// Whether any of the engine's weights are known.
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
