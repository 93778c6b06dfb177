use {super::IncarnationOrder, crate::time::Micros};

/// Time for which words of an earlier life count as late. What a process tells itself is on its
/// way for milliseconds; one that stood still tells what it knew before once or twice when it
/// wakes. By judgement: some times that.
const LATE_REPORT_WINDOW: Micros = Micros::from_millis(1_500);

/// Tells lives of a process apart by the times of their starts, which clocks tell that can be
/// set back.
///
/// An engine that starts again after the clock of its box was set back says that it was born
/// before the life that is known. Taken for a late word of an earlier life for good, it got
/// orders with the numbers of its earlier life only (all refused) and no requests that need its
/// weights, until its clock had caught up: an hour for a wrong time zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IncarnationTracker {
    /// The earlier life that is reported of, and since when without a word of the known one.
    earlier: Option<(u64, Micros)>,
}

impl IncarnationTracker {
    /// How the life that the process itself tells of stands to the known one. One that was
    /// born earlier is the later one if it alone goes on talking.
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
