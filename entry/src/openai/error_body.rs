use {pitchhitch_core::errors::ErrorKind, serde::Serialize};

/// An error response in the format of the OpenAI API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    error: ErrorObject,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ErrorObject {
    message: String,
    r#type: &'static str,
    param: Option<String>,
    code: &'static str,
}

impl ErrorBody {
    /// Creates the body for an error.
    pub fn new(
        kind: ErrorKind,
        detail: &str,
    ) -> Self {
        let response = kind.response();
        ErrorBody {
            error: ErrorObject {
                message: format!("{detail}; {}", response.remedy),
                r#type: response.error_type,
                param: None,
                code: response.code,
            },
        }
    }

    /// Serialises the body as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
