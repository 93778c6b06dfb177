use {
    crate::openai::ErrorBody,
    pitchhitch_core::{
        errors::{ErrorKind, RunState},
        time::Micros,
    },
};

/// Why a request is not answered, as a filter says it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What a person should know.
    pub detail: String,
    /// When to come back, if it differs from the table.
    pub retry_after: Option<Micros>,
    /// Whether the request may have run in an earlier try.
    pub may_have_run: bool,
}

impl Refusal {
    /// A refusal of a kind.
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

    /// Seconds after which the caller may come back.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let own = self.retry_after.map(|t| t.0.div_ceil(1_000_000).max(1));
        own.or(self.kind.response().retry_after.map(u64::from))
    }

    /// Body of the answer.
    pub fn body(&self) -> String {
        ErrorBody::new(self.kind, &self.detail).to_json()
    }
}
