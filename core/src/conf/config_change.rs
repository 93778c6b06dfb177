use {
    super::{LabelTarget, ModelConf, OrganisationConf, PlacementRule, ServiceConf},
    serde::{Deserialize, Serialize},
};

/// One change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Sets a label, or removes it when `value` is none.
    Label {
        /// What the label is on.
        target: LabelTarget,
        /// Label key.
        key: String,
        /// New value.
        value: Option<String>,
    },
    /// Adds or replaces a placement rule, or removes it when `rule` is none.
    Rule {
        /// Name of the rule.
        name: String,
        /// The rule.
        rule: Option<PlacementRule>,
    },
    /// Adds or replaces an organisation, or removes it when `conf` is none.
    Organisation {
        /// Name of the organisation.
        name: String,
        /// Its configuration.
        conf: Option<OrganisationConf>,
    },
    /// Adds or replaces a model, or removes it when `conf` is none.
    Model {
        /// Name of the model.
        name: String,
        /// Its configuration.
        conf: Option<ModelConf>,
    },
    /// Adds or replaces a plain service, or removes it when `conf` is none.
    Service {
        /// Name of the service.
        name: String,
        /// Its configuration.
        conf: Option<ServiceConf>,
    },
}
