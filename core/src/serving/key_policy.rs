/// What becomes of callers with keys at a box that has lost the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KeyPolicy {
    /// Past the limit nobody is let in: a key that was taken away opens nothing.
    #[default]
    FailClosed,
    /// The keys that are known let callers in at any age: an outage of the store
    /// turns nobody away, but a key that was taken away meanwhile still opens.
    ServeOn,
}
