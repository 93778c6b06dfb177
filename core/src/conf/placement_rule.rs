use {
    crate::labels::LabelSelector,
    serde::{Deserialize, Serialize},
};

/// Allows or denies work with certain labels on endpoints with certain labels.
///
/// Of the rules whose `work` selector matches a request, only those with the highest
/// precedence apply. Among them `deny` overrides `allow`, and the endpoints of several
/// `allow` rules are combined. If none of them is an `allow` rule, every endpoint of the
/// model or service that is not denied is admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// Only the matching rules with the highest precedence apply.
    #[serde(default)]
    pub precedence: i32,
    /// Selector over the labels of the organisation and version, plus
    /// `organisation`, `model`, `version` and `service`.
    pub work: LabelSelector,
    /// Selector over the labels of endpoints.
    pub endpoints: LabelSelector,
    /// Effect on the matching endpoints.
    #[serde(default)]
    pub effect: RuleEffect,
}

/// Effect of a placement rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleEffect {
    /// The work may run on the matching endpoints.
    #[default]
    Allow,
    /// The work may not run on the matching endpoints.
    Deny,
}
