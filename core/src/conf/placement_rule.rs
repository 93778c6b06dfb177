use {
    crate::labels::LabelSelector,
    serde::{Deserialize, Serialize},
};

/// Says which labelled work may go to which labelled endpoints.
///
/// Of the rules whose `work` matches a request, those of the highest
/// precedence decide; lower ones are not looked at. Among these a `deny`
/// beats an `allow`, and several `allow` add up. Without any matching rule
/// every endpoint of the model or service is admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRule {
    /// Higher decides first.
    #[serde(default)]
    pub precedence: i32,
    /// Matched over the labels of organisation and version, plus
    /// `organisation`, `model`, `version` and `service`.
    pub work: LabelSelector,
    /// Matched over the labels of endpoints.
    pub endpoints: LabelSelector,
    /// What the rule does with the endpoints that match.
    #[serde(default)]
    pub effect: RuleEffect,
}

/// What a rule does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleEffect {
    /// The work may go there.
    #[default]
    Allow,
    /// The work may not go there.
    Deny,
}
