use {super::LifeOrder, crate::time::Micros};

/// Time for which words of an earlier life count as late. What a process tells itself is on its
/// way for milliseconds; one that stood still tells what it knew before once or twice when it
/// wakes. By judgement: some times that.
const LATE_WORD: Micros = Micros::from_millis(1_500);

/// Tells lives of a process apart by the times of their starts, which clocks tell that can be
/// set back.
///
/// An engine that starts again after the clock of its box was set back says that it was born
/// before the life that is known. Taken for a late word of an earlier life for good, it got
/// orders with the numbers of its earlier life only (all refused) and no requests that need its
/// weights, until its clock had caught up: an hour for a wrong time zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LifeWatch {
    /// The earlier life that is told of, and since when without a word of the known one.
    doubted: Option<(u64, Micros)>,
}

impl LifeWatch {
    /// How the life that the process itself tells of stands to the known one. One that was
    /// born earlier is the later one if it alone goes on talking.
    pub fn order(
        &mut self,
        known: Option<u64>,
        told: Option<u64>,
        now: Micros,
    ) -> LifeOrder {
        let order = LifeOrder::of(known, told);
        let Some(told) = told.filter(|_| order == LifeOrder::Earlier) else {
            self.doubted = None;
            return order;
        };
        let same = self.doubted.filter(|(born, _)| *born == told);
        let (_, since) = *self.doubted.insert(same.unwrap_or((told, now)));
        if now.since(since) < LATE_WORD {
            return LifeOrder::Earlier;
        }
        self.doubted = None;
        LifeOrder::Later
    }
}
