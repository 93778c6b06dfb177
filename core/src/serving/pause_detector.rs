use crate::time::Micros;

/// How often a process notes that it runs.
pub const TICK: Micros = Micros::from_millis(100);
/// Time without such a note that shows that the process stood still: several
/// ticks, as a box that is only slow misses one or two.
const PAUSE_THRESHOLD: Micros = Micros::from_millis(700);
/// Time after waking for which what is known counts as unsettled: two looks at a
/// store that answers.
const SETTLE_TIME: Micros = Micros::from_millis(250);

/// Notices that the process itself stood still: what it knows is then older than
/// it seems, and news waits on its connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseDetector {
    last_tick: Option<Micros>,
    resumed_at: Option<Micros>,
}

impl PauseDetector {
    /// Notes that the process runs; the length of a standstill that just ended.
    pub fn tick(
        &mut self,
        now: Micros,
    ) -> Option<Micros> {
        let gap = self.gap(now);
        self.last_tick = Some(now);
        if gap.is_some() {
            self.resumed_at = Some(now);
        }
        gap
    }

    /// Whether the process has just come out of a standstill, also where that
    /// has not been noted yet.
    pub fn has_just_resumed(
        &self,
        now: Micros,
    ) -> bool {
        let is_recent = |at: Micros| now.since(at) < SETTLE_TIME;
        self.gap(now).is_some() || self.resumed_at.is_some_and(is_recent)
    }

    fn gap(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        let gap = now.since(self.last_tick?);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }
}
