use {super::PromptPart, crate::time::Micros};

/// What a request says of itself, in the product's terms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of this try, given by the caller.
    pub request_id: String,
    /// Host that it names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Key of the caller, if it shows one.
    pub key: Option<String>,
    /// Time for which the caller will wait.
    pub time_left: Option<Micros>,
    /// What it wants a model to do, where it is a prompt.
    pub prompt: Option<PromptInfo>,
}

/// The prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptInfo {
    /// Model that is wanted.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub tokens_in: u32,
    /// Longest answer, in tokens.
    pub tokens_out: u32,
    /// Parts of the prompt in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}
