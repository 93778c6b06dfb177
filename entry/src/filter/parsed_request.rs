use {
    super::{CallerRequest, Refusal},
    crate::{
        openai::{PromptRequest, PromptShape},
        traffic::TrafficView,
    },
    pitchhitch_core::{
        conf::FleetConfig, errors::ErrorKind, kv_cache::estimate_tokens, route::WorkTarget,
        time::Micros,
    },
    trillium::Method,
};

/// Result of the third filter: a request with its target and prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedRequest {
    /// The request head.
    pub request: CallerRequest,
    /// Organisation of the caller.
    pub organisation: String,
    /// The requested model or service.
    pub target: WorkTarget,
    /// Text of the prompt; empty for plain services.
    pub prompt: Vec<u8>,
    /// Estimated length of the prompt, in tokens.
    pub input_tokens: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time by which the response must have begun.
    pub deadline: Micros,
    /// Request body, unchanged.
    pub body: Vec<u8>,
}

/// What a path refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathKind {
    /// A prompt for a model.
    Prompt(PromptShape),
    /// A request to the plain service of this name.
    Service(String),
}

/// Finds what a path refers to; of the services, the one with the longest prefix.
///
/// # Errors
/// [`ErrorKind::UnknownPath`] when nothing matches.
pub fn path_kind(
    config: &FleetConfig,
    method: Method,
    path: &str,
) -> Result<PathKind, Refusal> {
    match (method, path) {
        (Method::Post, "/v1/chat/completions") => return Ok(PathKind::Prompt(PromptShape::Chat)),
        (Method::Post, "/v1/completions") => return Ok(PathKind::Prompt(PromptShape::Completion)),
        _ => {}
    }
    let services = config
        .services
        .iter()
        .filter(|(_, conf)| is_under(path, &conf.prefix));
    let longest = services.max_by_key(|(_, conf)| conf.prefix.len());
    match longest {
        Some((name, _)) => Ok(PathKind::Service(name.clone())),
        None => Err(Refusal::new(
            ErrorKind::UnknownPath,
            format!("nothing answers {method} {path}"),
        )),
    }
}

fn is_under(
    path: &str,
    prefix: &str,
) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Third filter: finds the target of a request, its prompt and whether it may be retried.
///
/// # Errors
/// [`Refusal`] when the body is not a valid prompt or the model is unknown.
pub fn parse_request(
    view: &TrafficView,
    request: CallerRequest,
    organisation: String,
    kind: PathKind,
    body: Vec<u8>,
    deadline: Micros,
) -> Result<ParsedRequest, Refusal> {
    let has_key = request.options.idempotency_key.is_some();
    let caller_choice = request.options.repeatable;
    match kind {
        PathKind::Prompt(shape) => {
            let prompt = PromptRequest::parse(shape, &body)
                .map_err(|e| Refusal::new(ErrorKind::MalformedBody, e.to_string()))?;
            if !view.table.config.models.contains_key(&prompt.model) {
                let detail = format!("there is no model '{}'", prompt.model);
                return Err(Refusal::new(ErrorKind::UnknownModel, detail));
            }
            Ok(ParsedRequest {
                input_tokens: estimate_tokens(prompt.text.len()),
                target: WorkTarget::Model(prompt.model),
                prompt: prompt.text,
                repeatable: caller_choice.unwrap_or(!has_key) && !has_key,
                request,
                organisation,
                deadline,
                body,
            })
        }
        PathKind::Service(name) => {
            let idempotent = is_idempotent(request.method);
            Ok(ParsedRequest {
                input_tokens: 0,
                target: WorkTarget::Service(name),
                prompt: Vec::new(),
                repeatable: caller_choice.unwrap_or(idempotent) && !has_key,
                request,
                organisation,
                deadline,
                body,
            })
        }
    }
}

/// Whether HTTP defines the method as idempotent.
fn is_idempotent(method: Method) -> bool {
    matches!(
        method,
        Method::Get | Method::Head | Method::Put | Method::Delete | Method::Options | Method::Trace
    )
}
