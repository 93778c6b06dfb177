use {
    super::{LabelTarget, ModelConf, OrganisationConf, PlacementRule, ServiceConf},
    serde::{Deserialize, Serialize},
};

/// A configuration change requested by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Sets a label, or removes it if `value` is `None`.
    Label {
        /// Object that carries the label.
        target: LabelTarget,
        /// Label key.
        key: String,
        /// New value.
        value: Option<String>,
    },
    /// Adds or replaces a placement rule, or removes it if `rule` is `None`.
    Rule {
        /// Name of the rule.
        name: String,
        /// The rule.
        rule: Option<PlacementRule>,
    },
    /// Adds or replaces an organisation, or removes it if `conf` is `None`.
    Organisation {
        /// Name of the organisation.
        name: String,
        /// Its configuration.
        conf: Option<OrganisationConf>,
    },
    /// Adds or replaces a model, or removes it if `conf` is `None`.
    Model {
        /// Name of the model.
        name: String,
        /// Its configuration.
        conf: Option<ModelConf>,
    },
    /// Adds or replaces a plain service, or removes it if `conf` is `None`.
    Service {
        /// Name of the service.
        name: String,
        /// Its configuration.
        conf: Option<ServiceConf>,
    },
}
