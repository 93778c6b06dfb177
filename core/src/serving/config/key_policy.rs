/// How a box that has lost the platform store treats callers with API keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KeyPolicy {
    /// No caller is admitted past the age limit, so that revoked keys stop working.
    #[default]
    FailClosed,
    /// Known keys are accepted at any age: an outage of the store rejects no caller, but a key
    /// revoked during the outage still works.
    FailOpen,
}
