use {
    super::{LabelSet, SelectorError, SelectorTerm},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A conjunction of terms; the empty selector matches everything.
///
/// Written as a comma-separated list of terms, for example
/// `site=nairobi-1,tier in (gold|silver),!leaving`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LabelSelector {
    terms: Vec<SelectorTerm>,
}

impl LabelSelector {
    /// Parses a selector.
    ///
    /// # Errors
    /// [`SelectorError`] for the first term that cannot be parsed.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let text = text.trim();
        if text.is_empty() {
            return Ok(LabelSelector::default());
        }
        let terms: Result<Vec<_>, _> = text.split(',').map(SelectorTerm::parse).collect();
        Ok(LabelSelector { terms: terms? })
    }

    /// Whether the labels satisfy every term.
    pub fn matches(
        &self,
        labels: &LabelSet,
    ) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }
}

impl TryFrom<String> for LabelSelector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, SelectorError> {
        LabelSelector::parse(&text)
    }
}

impl From<LabelSelector> for String {
    fn from(selector: LabelSelector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (index, term) in self.terms.iter().enumerate() {
            if index > 0 {
                write!(f, ",")?;
            }
            write!(f, "{term}")?;
        }
        Ok(())
    }
}
