use {
    super::{LabelSet, SelectorError},
    std::{collections::BTreeSet, fmt},
};

/// One condition on the labels of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SelectorTerm {
    /// The label has this value.
    Equals {
        /// Label key.
        key: String,
        /// Required value.
        value: String,
    },
    /// The label is absent or has a different value.
    Differs {
        /// Label key.
        key: String,
        /// Excluded value.
        value: String,
    },
    /// The label has one of these values.
    OneOf {
        /// Label key.
        key: String,
        /// Accepted values.
        values: BTreeSet<String>,
    },
    /// The label is absent or has none of these values.
    NoneOf {
        /// Label key.
        key: String,
        /// Excluded values.
        values: BTreeSet<String>,
    },
    /// The label is present.
    Exists {
        /// Label key.
        key: String,
    },
    /// The label is absent.
    Absent {
        /// Label key.
        key: String,
    },
}

/// Whether `label` is a valid label key or value.
pub fn is_valid_label(label: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._/-".contains(c);
    !label.is_empty() && label.chars().all(allowed)
}

fn parse_label(text: &str) -> Result<String, SelectorError> {
    let label = text.trim();
    if is_valid_label(label) {
        Ok(label.to_string())
    } else {
        Err(SelectorError::InvalidLabel {
            text: label.to_string(),
        })
    }
}

fn parse_values(text: &str) -> Result<BTreeSet<String>, SelectorError> {
    let inner = text
        .trim()
        .strip_prefix('(')
        .and_then(|t| t.strip_suffix(')'));
    let inner = inner.ok_or_else(|| SelectorError::InvalidTerm {
        term: text.trim().to_string(),
    })?;
    inner.split('|').map(parse_label).collect()
}

impl SelectorTerm {
    /// Parses one term.
    ///
    /// # Errors
    /// [`SelectorError`] if the text has an unknown form or contains an invalid label.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let text = text.trim();
        if let Some((key, values)) = text.split_once(" notin ") {
            let key = parse_label(key)?;
            let values = parse_values(values)?;
            return Ok(SelectorTerm::NoneOf { key, values });
        }
        if let Some((key, values)) = text.split_once(" in ") {
            let key = parse_label(key)?;
            let values = parse_values(values)?;
            return Ok(SelectorTerm::OneOf { key, values });
        }
        if let Some((key, value)) = text.split_once("!=") {
            let key = parse_label(key)?;
            let value = parse_label(value)?;
            return Ok(SelectorTerm::Differs { key, value });
        }
        if let Some((key, value)) = text.split_once('=') {
            let key = parse_label(key)?;
            let value = parse_label(value)?;
            return Ok(SelectorTerm::Equals { key, value });
        }
        if let Some(key) = text.strip_prefix('!') {
            let key = parse_label(key)?;
            return Ok(SelectorTerm::Absent { key });
        }
        if text.contains(' ') {
            return Err(SelectorError::InvalidTerm {
                term: text.to_string(),
            });
        }
        let key = parse_label(text)?;
        Ok(SelectorTerm::Exists { key })
    }

    /// Whether the labels satisfy this term.
    pub fn matches(
        &self,
        labels: &LabelSet,
    ) -> bool {
        match self {
            SelectorTerm::Equals { key, value } => labels.get(key) == Some(value),
            SelectorTerm::Differs { key, value } => labels.get(key) != Some(value),
            SelectorTerm::OneOf { key, values } => {
                labels.get(key).is_some_and(|v| values.contains(v))
            }
            SelectorTerm::NoneOf { key, values } => {
                !labels.get(key).is_some_and(|v| values.contains(v))
            }
            SelectorTerm::Exists { key } => labels.get(key).is_some(),
            SelectorTerm::Absent { key } => labels.get(key).is_none(),
        }
    }
}

fn joined(values: &BTreeSet<String>) -> String {
    let words: Vec<&str> = values.iter().map(String::as_str).collect();
    words.join("|")
}

impl fmt::Display for SelectorTerm {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            SelectorTerm::Equals { key, value } => write!(f, "{key}={value}"),
            SelectorTerm::Differs { key, value } => write!(f, "{key}!={value}"),
            SelectorTerm::OneOf { key, values } => write!(f, "{key} in ({})", joined(values)),
            SelectorTerm::NoneOf { key, values } => write!(f, "{key} notin ({})", joined(values)),
            SelectorTerm::Exists { key } => write!(f, "{key}"),
            SelectorTerm::Absent { key } => write!(f, "!{key}"),
        }
    }
}
