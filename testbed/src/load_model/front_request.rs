use {
    super::{sim_front::MODEL, KindSpec, SimRequest},
    pitchhitch_core::{
        serving::{EndpointChoice, PromptInfo},
        time::Micros,
    },
    std::net::SocketAddr,
};

/// A request as its front sees it.
#[derive(Debug, Clone, Copy)]
pub struct FrontRequest<'a> {
    /// Kind of the request.
    pub kind: &'a KindSpec,
    /// Prompt.
    pub prompt: &'a PromptInfo,
    /// Time until the caller's deadline.
    pub time_left: Micros,
    /// Indexes of the engines that were already tried.
    pub tried: &'a [usize],
    /// A number between 0 and 1 that spreads the retries of refused callers.
    pub jitter: f64,
}

/// A front's decision about a request.
#[derive(Debug, Clone)]
pub enum FrontDecision {
    /// Send it to an engine.
    Routed(Box<RoutedRequest>),
    /// Refuse it; the caller may retry after this time.
    Refused(Micros),
    /// No engine is left to try.
    NoEngine,
}

/// A request routed to an engine.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Index of the engine.
    pub engine: usize,
    /// The router's choice of an endpoint.
    pub choice: EndpointChoice,
    /// Ticket of the request in the front's endpoint registry.
    pub ticket: u64,
    /// Store in which each shared part is to be saved, if any.
    pub saves: Vec<Option<SocketAddr>>,
}

/// The prompt of a request, as fronts see it.
pub fn prompt_info(request: &SimRequest) -> PromptInfo {
    PromptInfo {
        model: MODEL.to_string(),
        tokens_in: request.tokens_in(),
        tokens_out: request.tokens_out,
        parts: request.parts.clone(),
    }
}
