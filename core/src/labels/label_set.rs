use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Labels of one endpoint, organisation or model version, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet {
    labels: BTreeMap<String, String>,
}

impl LabelSet {
    /// Value of the label `key`.
    pub fn get(
        &self,
        key: &str,
    ) -> Option<&str> {
        self.labels.get(key).map(String::as_str)
    }

    /// Sets a label, replacing any previous value.
    pub fn set(
        &mut self,
        key: impl Into<String>,
        value: impl Into<String>,
    ) {
        self.labels.insert(key.into(), value.into());
    }

    /// Removes a label if it is present.
    pub fn remove(
        &mut self,
        key: &str,
    ) {
        self.labels.remove(key);
    }

    /// Returns these labels merged with `other`, whose values take precedence.
    pub fn merged_with(
        &self,
        other: &LabelSet,
    ) -> LabelSet {
        let mut merged = self.clone();
        for (key, value) in &other.labels {
            merged.set(key, value);
        }
        merged
    }
}

impl<K: Into<String>, V: Into<String>> FromIterator<(K, V)> for LabelSet {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(pairs: I) -> Self {
        let mut labels = LabelSet::default();
        for (key, value) in pairs {
            labels.set(key, value);
        }
        labels
    }
}

impl fmt::Display for LabelSet {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (index, (key, value)) in self.labels.iter().enumerate() {
            if index > 0 {
                write!(f, ",")?;
            }
            write!(f, "{key}={value}")?;
        }
        Ok(())
    }
}
