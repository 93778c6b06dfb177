use {pitchhitch_core::conf::FleetConfig, serde::Serialize};

/// Answer to `GET /v1/models`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelRow>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ModelRow {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelList {
    /// The models of a configuration.
    pub fn of(config: &FleetConfig) -> Self {
        let data = config.models.keys().map(|name| ModelRow {
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
