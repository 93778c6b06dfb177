use {
    super::{
        ChangeError, ConfigChange, EndpointConf, LabelTarget, ModelConf, OrganisationConf,
        PlacementRule, ServiceConf,
    },
    crate::labels::{is_valid_label, LabelSet},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The whole configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Incremented by each change; never decreases.
    #[serde(default)]
    pub revision: u64,
    /// Organisations by name.
    #[serde(default)]
    pub organisations: BTreeMap<String, OrganisationConf>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelConf>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceConf>,
    /// Operator configuration of endpoints, by endpoint id.
    #[serde(default)]
    pub endpoints: BTreeMap<String, EndpointConf>,
    /// Placement rules by name.
    #[serde(default)]
    pub rules: BTreeMap<String, PlacementRule>,
}

fn set_or_remove<T>(
    objects: &mut BTreeMap<String, T>,
    what: &'static str,
    name: &str,
    object: &Option<T>,
) -> Result<(), ChangeError>
where
    T: Clone,
{
    match object {
        Some(object) => {
            objects.insert(name.to_string(), object.clone());
            Ok(())
        }
        None => objects
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| ChangeError::Unknown {
                what,
                name: name.to_string(),
            }),
    }
}

impl FleetConfig {
    /// Applies one change and increments the revision.
    ///
    /// # Errors
    /// [`ChangeError`]; the configuration is left unchanged.
    pub fn apply(
        &mut self,
        change: &ConfigChange,
    ) -> Result<(), ChangeError> {
        match change {
            ConfigChange::Label { target, key, value } => self.set_label(target, key, value)?,
            ConfigChange::Rule { name, rule } => {
                set_or_remove(&mut self.rules, "rule", name, rule)?
            }
            ConfigChange::Organisation { name, conf } => {
                set_or_remove(&mut self.organisations, "organisation", name, conf)?
            }
            ConfigChange::Model { name, conf } => {
                set_or_remove(&mut self.models, "model", name, conf)?
            }
            ConfigChange::Service { name, conf } => {
                set_or_remove(&mut self.services, "service", name, conf)?
            }
        }
        self.revision += 1;
        Ok(())
    }

    fn set_label(
        &mut self,
        target: &LabelTarget,
        key: &str,
        value: &Option<String>,
    ) -> Result<(), ChangeError> {
        for label in std::iter::once(key).chain(value.as_deref()) {
            if !is_valid_label(label) {
                return Err(ChangeError::InvalidLabel {
                    text: label.to_string(),
                });
            }
        }
        let labels = self.labels_mut(target)?;
        match value {
            Some(value) => labels.set(key, value),
            None => labels.remove(key),
        }
        Ok(())
    }

    fn labels_mut(
        &mut self,
        target: &LabelTarget,
    ) -> Result<&mut LabelSet, ChangeError> {
        match target {
            // An endpoint may be labelled before it first joins.
            LabelTarget::Endpoint(name) => {
                Ok(&mut self.endpoints.entry(name.clone()).or_default().labels)
            }
            LabelTarget::Organisation(name) => {
                let conf = self.organisations.get_mut(name);
                let conf = conf.ok_or_else(|| ChangeError::Unknown {
                    what: "organisation",
                    name: name.clone(),
                })?;
                Ok(&mut conf.labels)
            }
            LabelTarget::Version { model, version } => {
                let conf = self.models.get_mut(model);
                let conf = conf.and_then(|m| m.versions.get_mut(version));
                let conf = conf.ok_or_else(|| ChangeError::Unknown {
                    what: "version",
                    name: format!("{model}/{version}"),
                })?;
                Ok(&mut conf.labels)
            }
        }
    }

    /// Whether an endpoint is to be drained.
    pub fn is_leaving(
        &self,
        endpoint_id: &str,
    ) -> bool {
        self.endpoints
            .get(endpoint_id)
            .is_some_and(EndpointConf::is_leaving)
    }
}
