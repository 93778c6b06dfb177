use crate::time::Micros;

/// An age that another box told, and when it was right. It may reach back to before this
/// process started, which no time of its own clock does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ToldAge {
    /// Age at that time.
    pub age: Micros,
    /// When that was.
    pub at: Micros,
}

impl ToldAge {
    /// The age now: the lesser one of what this box knows since `known_at` and what it was
    /// told, as each bounds it.
    pub fn least(
        known_at: Option<Micros>,
        told: Option<ToldAge>,
        now: Micros,
    ) -> Option<Micros> {
        let known = known_at.map(|at| now.since(at));
        let told = told.map(|told| told.age + now.since(told.at));
        known.into_iter().chain(told).min()
    }
}
