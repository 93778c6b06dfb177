use {
    crate::openai::ErrorBody,
    pitchhitch_core::{
        errors::{ErrorKind, RunState},
        time::Micros,
    },
};

/// Why a filter refused a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error; determines the status and code of the response.
    pub kind: ErrorKind,
    /// Details for the caller, in plain text.
    pub detail: String,
    /// Time after which to retry, if it differs from the default of the kind.
    pub retry_after: Option<Micros>,
    /// Whether the request may have run in an earlier attempt.
    pub may_have_run: bool,
}

impl Refusal {
    /// A refusal with the defaults of its kind.
    pub fn new(
        kind: ErrorKind,
        detail: impl Into<String>,
    ) -> Self {
        Refusal {
            kind,
            detail: detail.into(),
            retry_after: None,
            may_have_run: false,
        }
    }

    /// Whether the request may have run.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run {
            RunState::Unknown
        } else {
            self.kind.run_state()
        }
    }

    /// Seconds after which the caller may retry.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let own = self.retry_after.map(|t| t.0.div_ceil(1_000_000).max(1));
        own.or(self.kind.response().retry_after.map(u64::from))
    }

    /// Body of the error response, as JSON.
    pub fn body(&self) -> String {
        ErrorBody::new(self.kind, &self.detail).to_json()
    }
}
