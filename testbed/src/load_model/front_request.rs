use {
    super::{sim_front::MODEL, KindSpec, PromptCall},
    pitchhitch_core::{
        serving::{EndpointChoice, PromptInfo},
        time::Micros,
    },
    std::net::SocketAddr,
};

/// A request as a front sees it.
#[derive(Debug, Clone, Copy)]
pub struct FrontAsk<'a> {
    /// Its kind.
    pub kind: &'a KindSpec,
    /// Its prompt.
    pub prompt: &'a PromptInfo,
    /// Time that its caller still has.
    pub patience: Micros,
    /// Engines that it has been to, by number.
    pub tried: &'a [usize],
    /// A number between 0 and 1 that spreads returns.
    pub spread: f64,
}

/// What a front does about a request.
#[derive(Debug, Clone)]
pub enum FrontVerdict {
    /// It goes to an engine.
    Sent(Box<FrontSend>),
    /// It is refused, and asked back after a time.
    Refused(Micros),
    /// No engine is left.
    NoEngine,
}

/// A request that goes to an engine.
#[derive(Debug, Clone)]
pub struct FrontSend {
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
pub fn prompt_ask(call: &PromptCall) -> PromptInfo {
    PromptInfo {
        model: MODEL.to_string(),
        tokens_in: call.tokens_in(),
        tokens_out: call.tokens_out,
        parts: call.parts.clone(),
    }
}
