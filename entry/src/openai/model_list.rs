use {pitchhitch_core::conf::FleetConfig, serde::Serialize};

/// Response to `GET /v1/models`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ModelObject {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelList {
    /// Lists the models of a configuration.
    pub fn from_config(config: &FleetConfig) -> Self {
        let data = config.models.keys().map(|name| ModelObject {
            id: name.clone(),
            object: "model",
            created: 0,
            owned_by: "pitchhitch",
        });
        ModelList {
            object: "list",
            data: data.collect(),
        }
    }
}
