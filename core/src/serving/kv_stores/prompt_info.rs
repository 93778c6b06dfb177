use {crate::serving::PromptPart, crate::time::Micros};

/// Attributes of a request, independent of the platform's protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of this attempt, chosen by the caller.
    pub request_id: String,
    /// Requested host.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key of the caller, if any.
    pub key: Option<String>,
    /// Time until the caller's deadline.
    pub time_left: Option<Micros>,
    /// Prompt, if the request is for a model.
    pub prompt: Option<PromptInfo>,
    /// If the request continues a stream that broke off: id of the attempt that brought the first
    /// event, empty if the caller does not state it.
    pub continues: Option<String>,
}

/// Prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// Requested model.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub tokens_in: u32,
    /// Maximum length of the answer, in tokens.
    pub tokens_out: u32,
    /// Parts of the prompt in order; the last one is specific to this request.
    pub parts: Vec<PromptPart>,
}
