use {crate::serving::IncarnationOrder, crate::time::Micros};

/// Time for which reports of an earlier incarnation count as late. A process's own reports arrive
/// within milliseconds, and after a pause it may report its previous state once or twice.
const LATE_REPORT_WINDOW: Micros = Micros::from_millis(1_500);

/// Distinguishes incarnations of a process by their start times, although its clock can be set
/// back.
///
/// An engine that restarts after its box's clock was set back reports an earlier start time than
/// the known incarnation. When such reports were always treated as late, until its clock had caught
/// up (an hour for a wrong time zone) the engine received only orders with the numbers of its
/// earlier incarnation, which it refused, and no requests that need its weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IncarnationTracker {
    /// Earlier start time that is being reported, and since when without a report of the known
    /// incarnation.
    earlier: Option<(u64, Micros)>,
}

impl IncarnationTracker {
    /// How the incarnation that the process itself reports relates to the known one. One with an
    /// earlier start time is the later one if it alone keeps reporting.
    pub fn order(
        &mut self,
        known: Option<u64>,
        reported: Option<u64>,
        now: Micros,
    ) -> IncarnationOrder {
        let order = IncarnationOrder::of(known, reported);
        let Some(reported) = reported.filter(|_| order == IncarnationOrder::Earlier) else {
            self.earlier = None;
            return order;
        };
        let same = self.earlier.filter(|(born, _)| *born == reported);
        let (_, since) = *self.earlier.insert(same.unwrap_or((reported, now)));
        if now.since(since) < LATE_REPORT_WINDOW {
            return IncarnationOrder::Earlier;
        }
        self.earlier = None;
        IncarnationOrder::Later
    }
}
