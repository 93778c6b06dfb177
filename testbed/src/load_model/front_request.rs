use {
    super::{sim_front::MODEL, KindSpec, SimRequest},
    pitchhitch_core::{
        serving::{EndpointChoice, PromptInfo},
        time::Micros,
    },
    std::net::SocketAddr,
};

/// A request as a front sees it.
#[derive(Debug, Clone, Copy)]
pub struct FrontRequest<'a> {
    /// Its kind.
    pub kind: &'a KindSpec,
    /// Its prompt.
    pub prompt: &'a PromptInfo,
    /// Time that its caller still has.
    pub time_left: Micros,
    /// Engines that it has been to, by number.
    pub tried: &'a [usize],
    /// A number between 0 and 1 that spreads returns.
    pub jitter: f64,
}

/// What a front does about a request.
#[derive(Debug, Clone)]
pub enum FrontDecision {
    /// It goes to an engine.
    Routed(Box<RoutedRequest>),
    /// It is refused, and asked back after a time.
    Refused(Micros),
    /// No engine is left.
    NoEngine,
}

/// A request that goes to an engine.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Number of the engine.
    pub engine: usize,
    /// The choice.
    pub choice: EndpointChoice,
    /// Its ticket in the front's book.
    pub ticket: u64,
    /// Stores in which its shared parts are to be saved.
    pub saves: Vec<Option<SocketAddr>>,
}

/// The prompt of a request as its front reads it.
pub fn prompt_info(request: &SimRequest) -> PromptInfo {
    PromptInfo {
        model: MODEL.to_string(),
        tokens_in: request.tokens_in(),
        tokens_out: request.tokens_out,
        parts: request.parts.clone(),
    }
}
