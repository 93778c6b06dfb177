use {
    super::ChangeError,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// An object that can carry labels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LabelTarget {
    /// An endpoint, by its id.
    Endpoint(String),
    /// An organisation, by its name.
    Organisation(String),
    /// A weight version of a model.
    Version {
        /// Model name.
        model: String,
        /// Version name.
        version: String,
    },
}

impl LabelTarget {
    /// Parses `endpoint/NAME`, `organisation/NAME` or `version/MODEL/NAME`.
    ///
    /// # Errors
    /// [`ChangeError::InvalidTarget`] for any other text.
    pub fn parse(text: &str) -> Result<Self, ChangeError> {
        let invalid_target = || ChangeError::InvalidTarget {
            text: text.to_string(),
        };
        let (kind, name) = text.split_once('/').ok_or_else(invalid_target)?;
        if name.is_empty() {
            return Err(invalid_target());
        }
        match kind {
            "endpoint" => Ok(LabelTarget::Endpoint(name.to_string())),
            "organisation" => Ok(LabelTarget::Organisation(name.to_string())),
            "version" => {
                let (model, version) = name.split_once('/').ok_or_else(invalid_target)?;
                Ok(LabelTarget::Version {
                    model: model.to_string(),
                    version: version.to_string(),
                })
            }
            _ => Err(invalid_target()),
        }
    }
}

impl fmt::Display for LabelTarget {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            LabelTarget::Endpoint(name) => write!(f, "endpoint/{name}"),
            LabelTarget::Organisation(name) => write!(f, "organisation/{name}"),
            LabelTarget::Version { model, version } => write!(f, "version/{model}/{version}"),
        }
    }
}
