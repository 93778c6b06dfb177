use crate::time::Micros;

/// An age reported by another box, and when it was valid. It may reach back to before this process
/// started, which no time of its own clock does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::serving) struct ReportedAge {
    /// Age at the time `at`.
    pub age: Micros,
    /// When the age was valid.
    pub at: Micros,
}

impl ReportedAge {
    /// Age now: the smaller of the time since `known_at` and the reported age, as both are upper
    /// bounds.
    pub fn min_age(
        known_at: Option<Micros>,
        reported: Option<ReportedAge>,
        now: Micros,
    ) -> Option<Micros> {
        let known = known_at.map(|at| now.since(at));
        let reported = reported.map(|reported| reported.age + now.since(reported.at));
        known.into_iter().chain(reported).min()
    }
}
